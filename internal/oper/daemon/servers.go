package daemon

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"valescale/internal/oper/telem"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

const (
	// readHeaderTimeout limits the time in which a client sends a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 2 * time.Minute
)

// callerServer returns the server for callers.
func (d *Daemon) callerServer() (*callerServer, error) {
	tlsConfig, err := serverTLSConfig(d.settings.Callers, false)
	if err != nil {
		return nil, err
	}
	s, closeServer := newCallerServer(callerParts{
		listener: d.listeners.callers, handler: d.front.Handler(), tls: tlsConfig, limits: d.settings.Limits,
		leaving: d.leaving.Load, memory: d.memory, logger: d.logger,
	})
	d.cleanups = append(d.cleanups, closeServer)
	d.callers = s
	return s, nil
}

// peerServer returns the HTTP server for other routers.
func (d *Daemon) peerServer() (*http.Server, error) {
	tlsConfig, err := serverTLSConfig(d.settings.Peers, true)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewPeerServiceHandler(&peerService{Server: home.NewServer(d.homes, nil, authenticatedPeer), daemon: d},
		connect.WithReadMaxBytes(peer.MaxMessageBytes)))
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: omitDateHeader(authenticatePeer(tlsConfig != nil, mux)), TLSConfig: tlsConfig, ReadHeaderTimeout: readHeaderTimeout,
		Protocols: protocols, ErrorLog: telem.NewServerLog(d.logger),
	}, nil
}

// omitDateHeader suppresses the Date header, which routers do not use, in responses to peers.
func omitDateHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// adminServer returns the HTTP server for operators, health checks and metrics.
func (d *Daemon) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewAdminServiceHandler(d.admin, connect.WithInterceptors(d.admin.Authenticate())))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", d.metrics.Handler())
	tlsConfig, err := serverTLSConfig(d.settings.Admin, false)
	if err != nil {
		_ = level.Error(d.logger).Log("msg", "invalid TLS settings: admin API, health checks and metrics are disabled", "err", err)
		return &http.Server{Handler: http.NotFoundHandler()}
	}
	return &http.Server{Handler: mux, TLSConfig: tlsConfig, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telem.NewServerLog(d.logger)}
}
