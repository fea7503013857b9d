package node

import "time"

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
