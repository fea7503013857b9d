package reach

import (
	"context"
	"net"
	"testing"

	"valescale/internal/edge/relay"
)

// Guards against the end of a target's process that is not found out through a tunnel: the direct path is
// lost, and the peer is refused.
func TestEndOfTargetIsKnownThroughAPeer(t *testing.T) {
	f := newFleet(t, 2, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := l.Addr().String()
	_ = l.Close()
	router := f.routers[0]
	router.cutFrom([]string{f.targets[0], ended}, true)
	eventually(t, "the target is reached through the peer", func() bool {
		_, tunneled := router.connects(f.targets[0])
		return tunneled
	})
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, router.dialer)
	defer closeConns()
	ctx, cancel := context.WithTimeout(t.Context(), 4*testTimeout)
	defer cancel()
	if !conns.HasEnded(ctx, ended, 0) {
		t.Error("the target is not known to have ended")
	}
}
