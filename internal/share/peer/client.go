package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/share/peerpb"
)

// Clients calls other routers over one HTTP/2 connection each.
type Clients struct {
	calls peerpb.PeerServiceClient
	open  *openConns
}

const (
	// dialTimeout bounds the making of a connection: a hundred round trips between zones,
	// and a part of the two seconds in which a starting router's first copy is due.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection without a call is kept: with 400 routers and a
	// gossip call in half a second, one to each comes back within that time.
	idleTimeout = 5 * time.Minute
	// pingAfter is after how long without a frame a connection is asked whether it lives,
	// pingTimeout how long the answer may take.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
)

// NewClients returns clients that dial with TLS, or in clear text when config is
// nil, and the function that closes their connections.
func NewClients(config *tls.Config, meter *Meter) (*Clients, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := &http.Protocols{}
	scheme := "http"
	open := &openConns{conns: map[string]map[*openConn]bool{}}
	if config != nil {
		protocols.SetHTTP2(true)
		scheme = "https"
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	transport := &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: config,
		IdleConnTimeout: idleTimeout,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return open.add(addr, meter.Conn(c)), nil
		},
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	sender := addressed{&http.Client{Transport: &silenceWatch{next: transport, open: open}}}
	calls := peerpb.NewPeerServiceClient(sender, scheme+"://"+anyRouter, connect.WithInterceptors(trimHeaders{}))
	return &Clients{calls: calls, open: open}, transport.CloseIdleConnections
}

// At returns the client of the router at an address.
func (c *Clients) At(addr string) peerpb.PeerServiceClient {
	return &client{addr: addr, calls: c.calls}
}

// Unanswered tells of requests to an address that were not answered in time: connections
// there that have fallen silent are closed.
func (c *Clients) Unanswered(addr string) { c.open.closeSilent(addr) }

// trimHeaders takes out of each call, streams aside, the headers that routers have no use for.
type trimHeaders struct{}

// WrapUnary shortens the user agent. What is large enough to be compressed is so before it is sent.
func (trimHeaders) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			req.Header().Set("User-Agent", "v")
			req.Header().Del("Accept-Encoding")
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient leaves streams as they are: a link sends its header once.
func (trimHeaders) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler leaves streams as they are: only calls are trimmed.
func (trimHeaders) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
