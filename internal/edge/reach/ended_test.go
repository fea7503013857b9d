package reach

import (
	"context"
	"testing"
	"time"

	"valescale/internal/edge/relay"
)

// checkEndThroughPeers checks that a router that is cut off from all targets knows of a target that has ended,
// and of one that runs, through its peers.
func checkEndThroughPeers(t *testing.T, hang bool) {
	t.Helper()
	const gone, limit = "127.0.0.1:1", 2 * time.Second
	f := newFleet(t, 3, 4)
	r := f.routers[0]
	r.cutFrom(append(f.targetAddrs(), gone), hang)
	eventually(t, "the router is cut off", func() bool {
		r.connects(f.targets[0])
		r.connects(f.targets[1])
		return r.dialer.CutOff()
	})
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, r.dialer)
	t.Cleanup(closeConns)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	began := time.Now()
	if !conns.HasEnded(ctx, gone, 0) {
		t.Errorf("a target at which peers are refused counts as running, found out after %v", time.Since(began))
	}
	if conns.HasEnded(ctx, f.targets[2], 0) {
		t.Error("a target that a peer reaches counts as ended")
	}
}

// Guards against broken answers that count as complete because their target refuses connections of peers,
// while those of the router itself are refused on their way.
func TestEndOfATargetIsKnownOnARefusedPath(t *testing.T) { checkEndThroughPeers(t, false) }

// Guards against broken answers that count as complete, and whole ones that end late, because what the router
// itself sends to their target is dropped: the refusal that a peer reports must count without its own.
func TestEndOfATargetIsKnownOnADroppingPath(t *testing.T) { checkEndThroughPeers(t, true) }
