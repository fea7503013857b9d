package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// decrypted records that the HTTP server takes the read deadline of an encrypted connection back: its TLS handshake is
// done, or the whole header of its first request came together with the end of the handshake and is read already.
func (c *waitingConn) decrypted() {
	switch c.phase {
	case connHandshake:
		c.handshaking, c.ending = false, false
		c.phase, c.since = connNew, time.Now()
		c.expireLocked()
	case connNew:
		c.phase, c.ending = connRequest, false
	}
}

// ServeHTTP2 serves a followed connection on which the caller has chosen HTTP/2, and returns when it has ended. It is a
// value of http.Server.TLSNextProto. Each connection gets a server of its own: a caller can be told to send no more
// requests only by http.Server.Shutdown, which tells all callers of a server.
func (c *CallerConns) ServeHTTP2(s *http.Server, conn *tls.Conn, handler http.Handler) {
	w, followed := followedConn(conn)
	if !followed {
		return
	}
	l := &singleListener{conn: conn, ended: make(chan struct{}), closed: make(chan struct{})}
	own := &http.Server{
		Handler: w.noteRequests(handler), MaxHeaderBytes: s.MaxHeaderBytes, HTTP2: s.HTTP2, ErrorLog: s.ErrorLog,
	}
	goAway := func() { shutDown(own) }
	_ = w.SetReadDeadline(time.Now().Add(c.times.Header))
	own.ConnState = func(_ net.Conn, state http.ConnState) {
		w.http2Changed(state, goAway)
		if state == http.StateClosed {
			close(l.ended)
		}
	}
	_ = own.Serve(l)
	<-l.ended
}

// shutDown begins to shut a server down. It does not wait for its connections.
func shutDown(s *http.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { _ = s.Shutdown(ctx) }()
}

// noteRequests returns a handler that notes that the connection had a request.
func (c *waitingConn) noteRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.hasRequest = true
		c.mu.Unlock()
		handler.ServeHTTP(w, r)
	})
}

// http2Changed records a change of the state of an HTTP/2 connection. The HTTP server reports a connection as active
// and idle once before its first request.
func (c *waitingConn) http2Changed(state http.ConnState, goAway func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = connRequest
		c.beginHTTP2(goAway)
	case http.StateIdle:
		c.phase, c.since = connOpened, time.Now()
		if c.hasRequest {
			c.phase = connIdle
		}
		c.expireLocked()
	}
}

// beginHTTP2 records that the caller has begun to speak HTTP/2. From now on the connection does not end by a deadline.
func (c *waitingConn) beginHTTP2(goAway func()) {
	if c.goAway != nil {
		return
	}
	c.goAway = goAway
	c.ending, c.late, c.deadline = false, false, time.Time{}
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// endHTTP2 lets an HTTP/2 connection end once its requests in flight are answered. A request that has arrived and is not
// among them is not run, and its caller is told so.
func (c *waitingConn) endHTTP2() {
	if c.phase != connRequest {
		c.conns.idleCloses.Add(1)
	}
	c.goAway()
}

// singleListener is the listener of a server that serves one connection.
type singleListener struct {
	accepted atomic.Bool
	conn     net.Conn
	// ended is closed when the connection has ended, closed when the listener is closed.
	ended, closed chan struct{}
	closeOnce     sync.Once
}

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	if !l.accepted.Swap(true) {
		return l.conn, nil
	}
	select {
	case <-l.ended:
	case <-l.closed:
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener. The connection stays open.
func (l *singleListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return l.conn.LocalAddr() }
