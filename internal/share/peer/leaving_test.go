package peer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/share/peer"
)

// targetBoxes returns targets that their rows show as live.
func targetBoxes(count int) []boxes.Box {
	var out []boxes.Box
	for i := range count {
		box := engineList("x", 1, boxes.Live)[0]
		box.ID = fmt.Sprintf("engine-%02d", i)
		out = append(out, box)
	}
	return out
}

// Guards against work for leaving targets at a router that starts after the fleet has spread that they leave, while
// their rows do not show it. It knows one other router, as one does that starts while the store is away.
func TestLeavingTargetsAtLaterStart(t *testing.T) {
	const targets = 20
	for _, routers := range []int{2, 8, 62} {
		f := newFleet(t, routers)
		for _, v := range f.views {
			v.ObserveTargets(start, peer.TargetChanges{Boxes: targetBoxes(targets)})
		}
		for _, box := range targetBoxes(targets) {
			f.views[0].MarkLeaving(start, peer.LeavingTarget{Target: ident.Target(box.ID), Incarnation: 1})
		}
		leaving := func(v *peer.View) (n int) {
			for _, target := range v.Targets("judge", "r") {
				if target.Leaving {
					n++
				}
			}
			return n
		}
		f.until("all know what leaves", 60, f.all(func(v *peer.View) bool { return leaving(v) == targets }))
		for range 60 {
			f.round()
		}
		last := routers - 1
		self := f.views[last].Self()
		self.Incarnation = 2
		next := peer.NewView(f.now, self, peer.DefaultLimits)
		next.ObserveTargets(f.now, peer.TargetChanges{Boxes: targetBoxes(targets)})
		f.views[last] = next
		f.deliver(last, 0, false)
		rounds := 0
		for ; leaving(next) < targets && rounds < 10; rounds++ {
			f.round()
		}
		if diff := cmp.Diff(targets, leaving(next)); diff != "" {
			t.Errorf("%d routers: leaving targets known after %d rounds: %s", routers, rounds, diff)
		}
		t.Logf("%d routers: known after %d rounds", routers, rounds)
	}
}

// Guards against a full digest without all leaving targets, and against one that grows too large with them: of 986
// routers with 300 leaving targets, a tenth of those of the largest fleet.
func TestFullDigestHasAllLeavingTargets(t *testing.T) {
	const (
		targets           = 300
		maxBytesPerTarget = 32
	)
	f := newFleet(t, 986)
	sent := func() (size int, d peer.Digest) {
		f.largest = 0
		d = f.wire(f.views[0].Outgoing(f.ids[1], true))
		return f.largest, d
	}
	without, _ := sent()
	for i := range targets {
		f.views[0].MarkLeaving(start, peer.LeavingTarget{Target: ident.Target(fmt.Sprintf("engine-%04d", i)), Incarnation: 1_700_000_000_000})
	}
	with, d := sent()
	if diff := cmp.Diff(targets, len(d.Leaving)); diff != "" {
		t.Error(diff)
	}
	if with-without > targets*maxBytesPerTarget {
		t.Errorf("%d leaving targets take %d bytes", targets, with-without)
	}
	t.Logf("%d bytes without leaving targets, %d with %d", without, with, targets)
}
