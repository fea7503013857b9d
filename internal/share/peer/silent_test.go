package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/fake/listen"
	"valescale/internal/share/peerpb"
)

// mute passes connections on to a server until it falls silent: from then on the open ones
// bring nothing more, without a reset, while new ones work.
type mute struct {
	addr  string
	epoch atomic.Int64
}

func newMute(t *testing.T, to string) *mute {
	t.Helper()
	m := &mute{}
	m.addr = listen.Conns(t, func(from net.Conn) { m.pass(from, to) })
	return m
}

func (m *mute) pass(from net.Conn, to string) {
	born := m.epoch.Load()
	server, err := net.Dial("tcp", to)
	if err != nil {
		_ = from.Close()
		return
	}
	go m.copy(server, from, born)
	m.copy(from, server, born)
}

func (m *mute) copy(to, from net.Conn, born int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if m.epoch.Load() != born {
			// The bytes are lost, and nobody is told.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A connection that falls silent for good is given up after a call or two, not after the
// connection's own check many seconds later.
func TestConnectionsThatFallSilent(t *testing.T) {
	router := newRouter(t, "r")
	m := newMute(t, router)
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), silentAfter+100*time.Millisecond)
		defer cancel()
		_, err := clients.At(m.addr).Gossip(ctx, connect.NewRequest(&peerpb.Digest{}))
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	m.epoch.Add(1)
	if err := call(); err == nil {
		t.Error("a call over a silent connection was answered")
	}
	if err := call(); err != nil {
		t.Errorf("the call after one that was not answered: %v", err)
	}
}

// newRouter returns the address of a router that answers gossip with its name.
func newRouter(t *testing.T, name string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewPeerServiceHandler(gossiping{name: name}))
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

// gossiping answers gossip with its name, and nothing else.
type gossiping struct {
	name string
	peerpb.UnimplementedPeerServiceHandler
}

func (g gossiping) Gossip(context.Context, *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	return connect.NewResponse(&peerpb.Digest{From: g.name}), nil
}
