package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idle closes callers' connections that have had no request for a time that the
// configuration may change while they are open, which the server's own limit cannot.
type idleConns struct {
	// limit is asked as a connection becomes idle.
	timeout func() time.Duration

	mu sync.Mutex
	// timers are those of the connections that are idle now.
	timers map[net.Conn]*time.Timer
}

// newIdle returns one without connections.
func newIdleConns(timeout func() time.Duration) *idleConns {
	return &idleConns{timeout: timeout, timers: map[net.Conn]*time.Timer{}}
}

// changed follows a connection's state.
func (i *idleConns) stateChanged(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		// A connection that cannot be closed is closed already.
		i.timers[c] = time.AfterFunc(i.timeout(), func() { _ = c.Close() })
	}
}

// defaultIdle counts while no configuration is known: longer than callers of the platform
// leave connections idle, so that none is closed under a request.
const defaultIdleTimeout = time.Minute

// idleTime is how long a caller's connection may stay without a request.
func (n *Node) idleTimeout() time.Duration {
	if t := n.Table(); t != nil && t.Limits.IdleTime > 0 {
		return t.Limits.IdleTime
	}
	return defaultIdleTimeout
}
