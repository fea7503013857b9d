package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"valescale/internal/edge/relay"
)

// connKey is the key of a caller's connection in the context of its requests.
type connContextKey struct{}

// connection is a caller's connection.
type callerConn struct {
	net.Conn
	// accepted is when it was accepted.
	acceptedAt time.Time
	// used is set once a request of it has been read.
	hasRequest atomic.Bool
}

// WithConn notes a caller's connection for its requests, as an http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, &callerConn{Conn: c, acceptedAt: time.Now()})
}

// unread is how long the first request of a connection has waited to be read. Later ones count as read
// at once: nothing shows when they came, and where many come over kept connections the few that were
// opened ahead of their first request must not count as callers that wait.
func unreadTime(ctx context.Context) time.Duration {
	c, known := ctx.Value(connContextKey{}).(*callerConn)
	if !known || c.hasRequest.Swap(true) {
		return 0
	}
	return time.Since(c.acceptedAt)
}

// callerLeft reports whether a request's caller has closed its connection. The server ends
// the context only once a goroutine of its own has read the close, which on a busy box, or
// for a caller that left before its request was read, is after the request would have been
// sent on.
func callerDisconnected(ctx context.Context) bool {
	if ctx.Err() == context.Canceled {
		return true
	}
	c, known := ctx.Value(connContextKey{}).(*callerConn)
	return known && relay.Peek(c.Conn) == relay.Ended
}
