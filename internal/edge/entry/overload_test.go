package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
)

// Rejected callers must leave no idle connection behind. When requests exceed the capacity of all
// targets for seconds, a rejected caller retries over a new connection and leaves the old one idle
// for the configured time, for example 15 s. A router with 4,100 descriptors had 3,600 such
// connections after five seconds at four times the traffic, and accepted no more callers.
func TestRejectedCallersLeaveNoConnections(t *testing.T) {
	s := newSetup(t, newRoute(nil))
	s.finder.acquire = func(context.Context, route.TargetRequest) (*route.Placement, error) {
		return nil, fault.New("route.Acquire", route.TimedOut, route.RetryAfter{})
	}
	var open atomic.Int64
	server := &http.Server{Handler: s.handler, ConnContext: WithConn, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 200 {
		// Each client reuses its connection if the router keeps it open.
		client := &http.Client{Transport: &http.Transport{}}
		req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+l.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set("Key", "k")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	for deadline := time.Now().Add(5 * time.Second); open.Load() > 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections of rejected callers are open", open.Load())
		}
		<-time.After(time.Millisecond)
	}
}
