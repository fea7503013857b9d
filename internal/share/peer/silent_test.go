package peer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/fake/listen"
	"valescale/internal/share/peerpb"
)

// A connection that becomes permanently silent is closed after one or two calls, not only by its
// ping many seconds later.
func TestSilentConnectionClosed(t *testing.T) {
	router := newRouter(t, "r")
	m := listen.NewStallingProxy(t, router)
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), silentTimeout+100*time.Millisecond)
		defer cancel()
		_, err := clients.At(m.Addr).Gossip(ctx, connect.NewRequest(&peerpb.Digest{}))
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	m.Stall()
	if err := call(); err == nil {
		t.Error("call over a silent connection succeeded")
	}
	if err := call(); err != nil {
		t.Errorf("call after one that timed out: %v", err)
	}
}

// newRouter returns the address of a router that responds to gossip with its name.
func newRouter(t *testing.T, name string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewPeerServiceHandler(gossipHandler{name: name}))
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// gossipHandler responds to gossip with its name and implements no other call.
type gossipHandler struct {
	name string
	peerpb.UnimplementedPeerServiceHandler
}

func (g gossipHandler) Gossip(context.Context, *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	return connect.NewResponse(&peerpb.Digest{From: g.name}), nil
}
