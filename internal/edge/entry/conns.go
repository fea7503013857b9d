package entry

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"valescale/internal/plat/memory"
)

// stopWait is how long a connection that was just accepted by a router which stops may wait for its first request:
// some times longer than callers take to send one.
const stopWait = time.Second

// ConnTimes limits the times of callers' connections.
type ConnTimes struct {
	// Idle returns how long a connection may wait for a further request. It may change while connections wait.
	Idle func() time.Duration
	// Header is the time to receive a request's header, for a first request from when its connection was accepted.
	Header time.Duration
}

// CallerConns follows the connections of callers: it charges them to the memory of the box, closes those that wait
// for a request for too long, and waits for their end when the router stops.
type CallerConns struct {
	times    ConnTimes
	reserved *memory.Reservation
	// idleCloses counts the connections that were closed as they waited for too long.
	idleCloses atomic.Int64
	// stopping is set once connections that wait for a request are to end.
	stopping atomic.Bool
	// stop is the stop that was announced, or nil.
	stop atomic.Pointer[announcedStop]

	mu sync.Mutex
	// open contains the connections that were accepted and have not ended.
	open map[*waitingConn]struct{}
	// ended is closed when a connection ends; nil while nothing waits for that.
	ended chan struct{}
}

// NewCallerConns returns an account of no connections, and the function that closes it.
func NewCallerConns(account *memory.Account, times ConnTimes) (*CallerConns, func()) {
	reserved := account.Open(memory.Connections, memory.Owner{})
	return &CallerConns{times: times, reserved: reserved, open: map[*waitingConn]struct{}{}}, reserved.Close
}

// Listener returns a listener whose connections are followed.
func (c *CallerConns) Listener(l net.Listener) net.Listener {
	return &followedListener{Listener: l, conns: c}
}

// TLSListener returns a listener whose connections are followed, for http.Server.ServeTLS.
func (c *CallerConns) TLSListener(l net.Listener) net.Listener {
	return &followedListener{Listener: l, conns: c, encrypted: true}
}

// followedListener is a listener whose connections are followed.
type followedListener struct {
	net.Listener
	conns *CallerConns
	// encrypted is set if callers begin with a TLS handshake.
	encrypted bool
}

// Accept implements net.Listener.
func (l *followedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.follow(&waitingConn{Conn: c, encrypted: l.encrypted, handshaking: l.encrypted}), nil
}

// Close closes the listener once the callers that it has queued are accepted, or after queueTimeout.
func (l *followedListener) Close() error {
	return closeOnceAccepted(l.Listener, time.Now().Add(queueTimeout))
}

// accepted returns the connection that is to be served for one that was accepted.
func (c *CallerConns) accepted(conn net.Conn) net.Conn { return c.follow(&waitingConn{Conn: conn}) }

// follow follows a connection from its begin, and returns it.
func (c *CallerConns) follow(w *waitingConn) net.Conn {
	w.conns, w.since = c, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[w] = struct{}{}
	return w
}

// StateChanged records a change of a connection's state. It is a http.Server.ConnState callback.
func (c *CallerConns) StateChanged(conn net.Conn, state http.ConnState) {
	w, waits := followedConn(conn)
	switch state {
	case http.StateNew:
		c.reserved.Add(connSize)
		if waits && c.stopping.Load() {
			w.expire()
		}
	case http.StateIdle:
		if waits {
			w.becameIdle()
		}
	case http.StateClosed, http.StateHijacked:
		c.reserved.Shrink(connSize)
		c.forget(w)
	}
}

// followedConn returns the connection that is followed for one of an HTTP server, and whether there is one.
func followedConn(conn net.Conn) (*waitingConn, bool) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	w, ok := conn.(*waitingConn)
	return w, ok
}

// forget records the end of a connection.
func (c *CallerConns) forget(w *waitingConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, w)
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
}

// waitLimit returns how long a connection may wait in a phase, and whether that is limited by more than the time of
// a header.
func (c *CallerConns) waitLimit(phase connPhase) (time.Duration, bool) {
	switch stopping := c.stopping.Load(); {
	case phase == connNew || phase == connHandshake:
		return stopWait, stopping
	case phase == connOpened && stopping:
		return stopWait, true
	case phase == connRequest:
		// The requests of an HTTP/2 connection are finished after the caller was told to send no more.
		return 0, stopping
	case stopping:
		return 0, true
	default:
		return c.times.Idle(), true
	}
}

// Stop ends the connections that wait for a request, now and later, and waits until all have ended. Requests that
// have arrived are answered. It returns the context's error if that ends first.
func (c *CallerConns) Stop(ctx context.Context) error {
	if by, limited := ctx.Deadline(); limited {
		c.AnnounceStop(time.Now(), by)
	}
	c.stopping.Store(true)
	for _, w := range c.list() {
		w.expire()
	}
	for {
		ended := c.nextEnd()
		if ended == nil {
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announcedStop is a stop whose times are known.
type announcedStop struct {
	// refusesFrom is when the router begins to refuse requests that may not be answered before it ends.
	refusesFrom time.Time
	// by is the time by which it ends.
	by time.Time
}

// AnnounceStop announces the times of a stop, so that what is done before the connections end, and may take long, leaves no time
// in which requests are accepted that the end would cut off.
func (c *CallerConns) AnnounceStop(refusesFrom, by time.Time) {
	c.stop.Store(&announcedStop{refusesFrom: refusesFrom, by: by})
}

// StopsBefore reports whether the router is stopping and may end before a time.
func (c *CallerConns) StopsBefore(t time.Time) bool {
	stop := c.stop.Load()
	return stop != nil && !time.Now().Before(stop.refusesFrom) && stop.by.Before(t)
}

// list returns the open connections.
func (c *CallerConns) list() []*waitingConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// nextEnd returns a channel that is closed when a connection ends, or nil if none is open.
func (c *CallerConns) nextEnd() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 && c.ended == nil {
		c.ended = make(chan struct{})
	}
	return c.ended
}

// IdleCloses returns the number of connections that were closed because they waited for a request for too long, or
// while the router stopped.
func (c *CallerConns) IdleCloses() int64 { return c.idleCloses.Load() }

// hasRoom reports whether there is room for another connection.
func (c *CallerConns) hasRoom() bool { return c.reserved.CanGrow(connSize) }
