package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/plat/head"
	"valescale/internal/share/peerpb"
)

// Clients calls other routers over one shared HTTP/2 connection per address.
type Clients struct {
	calls peerpb.PeerServiceClient
	open  *openConns
}

const (
	// dialTimeout limits the time to establish a connection. It is a hundred round trips between
	// zones and a fraction of the two seconds within which a starting router needs its first
	// snapshot.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which a connection without calls is closed. In a fleet of 400
	// routers with a gossip call every half second, each of them is called again within that time.
	idleTimeout = 5 * time.Minute
	// pingInterval is the time without a frame after which a connection is checked with a ping;
	// pingTimeout limits the wait for the response.
	pingInterval = 15 * time.Second
	pingTimeout  = 2 * time.Second
)

// MaxMessageBytes limits the size of a message from another router, or from what has taken the address of one that has
// ended: several times the pages of the largest fleet.
const MaxMessageBytes = 16 << 20

// NewClients returns clients that dial with TLS, or without encryption when config is nil, and a
// function that closes all of their connections, after which calls fail.
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
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	sender := addrClient{&http.Client{Transport: head.Transport(&silentConnCloser{next: transport, open: open})}}
	calls := peerpb.NewPeerServiceClient(sender, scheme+"://"+placeholderHost, connect.WithInterceptors(trimHeaders{}),
		connect.WithReadMaxBytes(MaxMessageBytes))
	return &Clients{calls: calls, open: open}, open.closeAll
}

// At returns the client of the router at an address.
func (c *Clients) At(addr string) peerpb.PeerServiceClient {
	return &client{addr: addr, calls: c.calls}
}

// ReportUnanswered reports that requests to an address timed out. Connections to the address that
// count as silent are closed.
func (c *Clients) ReportUnanswered(addr string) { c.open.closeSilent(addr) }

// trimHeaders removes the headers that routers do not use from unary calls.
type trimHeaders struct{}

// WrapUnary shortens the user agent and removes Accept-Encoding. Payloads that are large enough to
// be compressed are compressed before they are sent.
func (trimHeaders) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			req.Header().Set("User-Agent", "v")
			req.Header().Del("Accept-Encoding")
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient returns streams unchanged: a link sends its headers only once.
func (trimHeaders) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler returns handlers unchanged: only unary calls are trimmed.
func (trimHeaders) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
