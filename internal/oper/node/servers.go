package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/edge/entry"
	"valescale/internal/edge/reach"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/ident"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

const (
	// headerTimeout limits the time to receive a request's header. Configurations allow seconds.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's header. It is four times what configurations
	// allow.
	maxHeaderBytes = 64 << 10
	// peerFrameBytes is the largest frame that peers may send: the smallest limit that the protocol allows. A
	// peer holds a buffer of this size for each link, in place of 512 KB.
	peerFrameBytes = 16 << 10
	// minCompressBytes is the minimum size of a response to a peer that is compressed. Full tables
	// are compressed; changes and permits are not worth the processor time.
	minCompressBytes = 16 << 10
)

// readyServer returns the server of the platform's readiness check.
func (n *Node) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.settings.Load().ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready.Load() || n.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: telem.NewServerLog(n.Logger)}
}

// callerServer returns the server for callers. A draining router closes connections after the
// response, so that callers connect to another router.
func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.draining.Load() {
				w.Header().Set("Connection", "close")
			}
			n.handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: n.callerConns.StateChanged, ConnContext: entry.WithConn, ErrorLog: telem.NewServerLog(n.Logger),
	}
}

// peerServer returns the server for peers and metrics.
func (n *Node) peerServer() *http.Server {
	mux := http.NewServeMux()
	anyRouter := func(context.Context) ident.Router { return "" }
	service := &peerService{Server: home.NewServer(n.homes, n.origins, anyRouter), peers: n.peers, replicas: n.replicas, packCache: newPackCache()}
	mux.Handle(peerpb.NewPeerServiceHandler(service, connect.WithCompressMinBytes(minCompressBytes),
		connect.WithReadMaxBytes(peer.MaxMessageBytes)))
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.Handle("GET "+reach.TunnelPath, n.tunnels)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, Protocols: protocols, ErrorLog: telem.NewServerLog(n.Logger),
		HTTP2: &http.HTTP2Config{MaxReadFrameSize: peerFrameBytes},
	}
}
