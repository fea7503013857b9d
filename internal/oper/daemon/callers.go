package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/entry"
	"valescale/internal/oper/conf"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/memory"
)

// http2Protocol is the name of HTTP/2 in TLS handshakes.
const http2Protocol = "h2"

// callerServer serves callers.
type callerServer struct {
	server   *http.Server
	listener net.Listener
	conns    *entry.CallerConns
	// served is closed when the last connection has been accepted.
	served chan struct{}
}

// callerParts are what a callerServer needs.
type callerParts struct {
	listener net.Listener
	handler  http.Handler
	// tls is nil for clear text.
	tls    *tls.Config
	limits conf.Limits
	// leaving reports whether callers are to leave this router.
	leaving func() bool
	memory  *memory.Account
	logger  log.Logger
}

// newCallerServer returns a server and the function that releases what it needs.
func newCallerServer(parts callerParts) (*callerServer, func()) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if parts.leaving() {
			w.Header().Set("Connection", "close")
		}
		parts.handler.ServeHTTP(w, r)
	})
	s := &callerServer{listener: parts.listener, served: make(chan struct{}), server: &http.Server{
		Handler: handler, TLSConfig: parts.tls, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: parts.limits.Header,
		ErrorLog: telem.NewServerLog(parts.logger),
	}}
	conns, closeConns := entry.NewCallerConns(parts.memory, entry.ConnTimes{
		Idle: func() time.Duration { return idleTimeout }, Header: readHeaderTimeout,
	})
	s.conns, s.listener, s.server.ConnState = conns, conns.Listener(parts.listener), conns.StateChanged
	if parts.tls != nil {
		s.listener = conns.TLSListener(parts.listener)
		s.server.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){http2Protocol: conns.ServeHTTP2}
	}
	return s, closeConns
}

// serve serves in the background until the server is stopped.
func (s *callerServer) serve(wg *sync.WaitGroup) {
	wg.Go(func() {
		defer close(s.served)
		serveOn(s.server, s.listener)
	})
}

// stop accepts no more callers and waits for those whose requests have arrived. http.Server.Shutdown would close
// connections on which a request has arrived and is not read yet, and drop requests that are being read.
func (s *callerServer) stop(ctx context.Context) error {
	// A listener that cannot be closed is closed by the kernel when the process exits.
	_ = s.listener.Close()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	return s.conns.Stop(ctx)
}
