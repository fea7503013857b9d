package reach

import (
	"context"
	"net"
	"testing"
	"time"

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

// Guards against the end of a target's process that is not found out because no peer provides tunnels: an
// attempt that failed a moment ago must not leave it to peers alone.
func TestEndOfTargetIsKnownWithoutPeers(t *testing.T) {
	f := newFleet(t, 2, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := l.Addr().String()
	_ = l.Close()
	f.routers[1].accepting = false
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, f.routers[0].dialer)
	defer closeConns()
	for range 2 {
		if !conns.HasEnded(t.Context(), ended, 0) {
			t.Error("the target is not known to have ended")
		}
	}
}

// Guards against a running target that counts as ended because this router's own path to it refuses connections:
// a peer that connects decides.
func TestTargetIsRunningIfAPeerConnects(t *testing.T) {
	f := newFleet(t, 2, 1)
	router, addr := f.routers[0], f.targets[0]
	router.cutFrom([]string{addr}, false)
	router.dialer.paths.down(addr, time.Now())
	if router.dialer.Refused(t.Context(), addr) {
		t.Error("a target that a peer reaches counts as ended")
	}
}

// Guards against a broken answer that ends as complete since the only peer which knows that its target has ended
// has lost paths itself.
func TestEndOfTargetIsKnownThroughAPeerThatLostPaths(t *testing.T) {
	f := newFleet(t, 2, 2)
	router, peer := f.routers[0], f.routers[1]
	router.cutFrom(f.targets, false)
	router.connects(f.targets[0])
	peer.cutFrom(f.targets, false)
	peer.dialer.paths.lost(f.targets[1], time.Now())
	if !router.dialer.Refused(t.Context(), "127.0.0.1:1") {
		t.Error("the target is not known to have ended")
	}
}
