package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"valescale/internal/fake/listen"
)

// If all connections to a target become silent, only one request fails before all of them are
// closed.
func TestSilentIdleConnectionsAreClosed(t *testing.T) {
	var silent atomic.Bool
	addr := listen.Conns(t, func(c net.Conn) { serveUntilSilent(c, &silent, silent.Load()) })
	conns, closeConns := NewConns(DefaultConnLimits, directDialer{})
	t.Cleanup(closeConns)
	send := func(limit time.Duration) (*Answer, error) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		t.Cleanup(cancel)
		return conns.Send(ctx, Exchange{
			Addr: addr, Method: "GET", Path: "/", Host: "h", Header: http.Header{},
			Matches: func(http.Header) bool { return true }, MaxIdleTime: time.Minute,
		})
	}
	var open []*Answer
	for range 3 {
		a, err := send(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a)
		open = append(open, a)
	}
	for _, a := range open {
		a.Close()
	}
	silent.Store(true)
	if _, err := send(silenceTimeout + 50*time.Millisecond); err == nil {
		t.Error("a request over a silent connection got an answer")
	}
	a, err := send(time.Second)
	if err != nil {
		t.Fatalf("request after an unanswered one: %v", err)
	}
	a.Close()
}

// Idle connections to a target that has restarted are not reused, even if they appear open.
func TestCloseIdleClosesIdleConnections(t *testing.T) {
	var opened atomic.Int32
	var never atomic.Bool
	addr := listen.Conns(t, func(c net.Conn) {
		opened.Add(1)
		serveUntilSilent(c, &never, false)
	})
	conns, closeConns := NewConns(DefaultConnLimits, directDialer{})
	t.Cleanup(closeConns)
	for _, closeIdle := range []bool{false, false, true} {
		if closeIdle {
			conns.CloseIdle(addr)
		}
		a, err := conns.Send(t.Context(), Exchange{
			Addr: addr, Method: "GET", Path: "/", Host: "h", Header: http.Header{},
			Matches: func(http.Header) bool { return true }, MaxIdleTime: time.Minute,
		})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a)
		a.Close()
	}
	if got := opened.Load(); got != 2 {
		t.Errorf("%d connections, want one per incarnation", got)
	}
}

// serveUntilSilent answers the requests on a connection. Once silent is set, connections that were
// opened before stop answering.
func serveUntilSilent(c net.Conn, silent *atomic.Bool, silentAtStart bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if silent.Load() != silentAtStart {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}
