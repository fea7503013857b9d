package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for longer than a timeout that the
// configuration may change while they are open, which http.Server's own idle timeout does not
// support.
type idleConns struct {
	// timeout is called when a connection becomes idle.
	timeout func() time.Duration

	mu sync.Mutex
	// timers contains the timers of the connections that are currently idle.
	timers map[net.Conn]*time.Timer
}

// newIdleConns returns an idleConns without connections.
func newIdleConns(timeout func() time.Duration) *idleConns {
	return &idleConns{timeout: timeout, timers: map[net.Conn]*time.Timer{}}
}

// stateChanged handles a change of a connection's state. It is a http.Server.ConnState callback.
func (i *idleConns) stateChanged(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		// Close fails only for a connection that is already closed.
		i.timers[c] = time.AfterFunc(i.timeout(), func() { _ = c.Close() })
	}
}

// defaultIdleTimeout applies while no configuration is known. It is longer than callers of the
// platform leave connections idle, so that none is closed while a request is sent on it.
const defaultIdleTimeout = time.Minute

// idleTimeout returns how long a caller's connection may stay idle.
func (n *Node) idleTimeout() time.Duration {
	if t := n.Table(); t != nil && t.Limits.IdleTime > 0 {
		return t.Limits.IdleTime
	}
	return defaultIdleTimeout
}
