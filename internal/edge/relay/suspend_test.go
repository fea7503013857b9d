package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/fake/asleep"
)

// A target may have closed a connection that was idle while the box was suspended. The idle time of
// a connection follows the wall clock, since the monotonic clock stops during a suspension.
func TestIdleTimeIncludesSuspension(t *testing.T) {
	conns, closeConns := NewConns(DefaultConnLimits, directDialer{})
	defer closeConns()
	now := time.Now()
	for range 2 {
		near, far := net.Pipe()
		defer far.Close()
		conns.keepIdle(newConn("a", near, 1), http.Header{}, now)
	}
	if found, _ := conns.popIdle("a", now, time.Second); found == nil {
		t.Error("a connection that was just used is not reused")
	}
	if found, expired := conns.popIdle("a", asleep.For(now, 10), time.Second); found != nil || len(expired) != 1 {
		t.Errorf("a connection from before the suspension is reused; %d expired", len(expired))
	}
}
