package entry

import (
	"context"
	"net"

	"valescale/internal/edge/relay"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// WithConn notes a caller's connection for its requests, as an http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerLeft reports whether a request's caller has closed its connection. The server ends
// the context only once a goroutine of its own has read the close, which on a busy box, or
// for a caller that left before its request was read, is after the request would have been
// sent on.
func callerLeft(ctx context.Context) bool {
	if ctx.Err() == context.Canceled {
		return true
	}
	c, known := ctx.Value(connKey{}).(net.Conn)
	return known && relay.Peek(c) == relay.Ended
}
