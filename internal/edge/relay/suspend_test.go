package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/fake/asleep"
)

// A connection that was idle while the box was suspended may have been closed by its target: it is as old
// as the time of day says, not as the steady clock does.
func TestIdleTimeIncludesSuspension(t *testing.T) {
	conns, closeConns := NewConns(DefaultConnLimits)
	defer closeConns()
	now := time.Now()
	for range 2 {
		near, far := net.Pipe()
		defer far.Close()
		conns.keepIdle(newConn("a", near, 1), http.Header{}, now)
	}
	if found, _ := conns.popIdle("a", now, time.Second); found == nil {
		t.Error("a connection that has just been used is not used again")
	}
	if found, expired := conns.popIdle("a", asleep.For(now, 10), time.Second); found != nil || len(expired) != 1 {
		t.Errorf("a connection from before a suspension is used; %d expired", len(expired))
	}
}
