package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// detectionTime is the time after which a router that is cut off connects through peers each time.
const detectionTime = 3 * time.Second

// Guards against a router that asks only the peers of its own availability zone, which come first, and never
// the others while all of that zone are cut off as it is.
func TestZoneOfPeersThatCannotHelp(t *testing.T) {
	for _, hang := range []bool{true, false} {
		f := newFleet(t, 9, 6)
		near := f.routers[:7]
		for _, r := range near {
			r.cutFrom(f.targets, hang)
		}
		r := near[0]
		for began := time.Now(); time.Since(began) < detectionTime; {
			r.connects(f.targets[0])
		}
		const count = 60
		connected := 0
		for i := range count {
			if ok, _ := r.connects(f.targets[i%len(f.targets)]); ok {
				connected++
			}
		}
		if connected < count {
			t.Errorf("hang %v: %d of %d attempts connected although two peers reach the targets", hang, connected, count)
		}
	}
}

// Guards against a peer that vouches for the fault of a target although it reaches none itself: only one that
// has just reached another target, and has lost none, says that the target is at fault.
func TestPeersThatReachNoTargetAreUnsure(t *testing.T) {
	f := newFleet(t, 3, 3)
	sound, cut := f.routers[1], f.routers[2]
	gone := "127.0.0.1:1"
	open := func(peer *testRouter) Kind {
		c, err := f.routers[0].dialer.openTunnel(t.Context(), Peer{ID: peer.id, Addr: peer.addr}, gone)
		if err == nil {
			_ = c.Close()
		}
		return fault.KindOf[Kind](err)
	}
	cut.cutFrom(f.targets, false)
	sound.connects(f.targets[0])
	got := []Kind{open(cut), open(sound)}
	sound.cutFrom(f.targets[1:2], false)
	sound.connects(f.targets[1])
	got = append(got, open(sound))
	if diff := cmp.Diff([]Kind{UnsureRefused, Refused, UnsureRefused}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a sound peer that stays unsure because it has nothing to send: it finds out which targets it
// reaches when it is asked.
func TestIdlePeerFindsOutWhetherItReachesTargets(t *testing.T) {
	f := newFleet(t, 2, 3)
	peer := Peer{ID: f.routers[1].id, Addr: f.routers[1].addr}
	eventually(t, "the peer is sure that the target is gone", func() bool {
		_, err := f.routers[0].dialer.openTunnel(t.Context(), peer, "127.0.0.1:1")
		return fault.KindOf[Kind](err) == Refused
	})
}

// Guards against sound targets that are taken for down since the first peers that were asked are cut off:
// some peers have not been asked yet.
func TestCutOffPeersDoNotShowThatTargetsAreDown(t *testing.T) {
	f := newFleet(t, 12, 1)
	for _, r := range f.routers[:11] {
		r.cutFrom(f.targets, false)
	}
	r := f.routers[0]
	r.connects(f.targets[0])
	if got := r.dialer.paths.route(f.targets[0], time.Now()); got == routeNone {
		t.Error("the target counts as down although some peers were not asked")
	}
}

// Targets count as down once all peers have failed, or many of them, and no other worked.
func TestManyFailedPeersAreEnough(t *testing.T) {
	now := time.Unix(1000, 0)
	var peers []Peer
	for i := range 3 * enoughPeers {
		peers = append(peers, Peer{ID: ident.Router(fmt.Sprint(i))})
	}
	r := newPeerRecord()
	few := peers[:3]
	var got []bool
	for i, p := range peers[:enoughPeers] {
		r.failed(now, p.ID)
		if i == 1 || i == 2 {
			got = append(got, r.noneHelps(few, now))
		}
	}
	got = append(got, r.noneHelps(peers, now))
	r.worked("20", now)
	got = append(got, r.noneHelps(peers, now), r.noneHelps(few, now.Add(peerMemory)))
	if diff := cmp.Diff([]bool{false, true, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests on idle connections to targets whose paths are lost as well but not yet known to be:
// while any path is lost, a target must have been connected to anew.
func TestIdleConnectionsNeedANewOneWhilePathsAreLost(t *testing.T) {
	f := newFleet(t, 2, 4)
	r := f.routers[0]
	idle, err := r.dialer.Dial(t.Context(), f.targets[1])
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	r.cutFrom(f.targets[:2], false)
	r.connects(f.targets[0])
	r.connects(f.targets[2])
	got := []bool{r.dialer.Usable(idle, f.targets[1])}
	r.cutFrom(f.targets[:1], false)
	r.dialer.paths.reached(f.targets[1], time.Now())
	got = append(got, r.dialer.Usable(idle, f.targets[1]))
	if diff := cmp.Diff([]bool{false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against peers that are asked again while others, which failed longer ago, may reach the targets by now.
func TestPeerThatFailedFirstIsAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newPeerRecord()
	for _, id := range []ident.Router{"second", "third", "first"} {
		r.failed(now, id)
		now = now.Add(time.Millisecond)
	}
	r.failed(now, "third")
	r.failedAt["first"] = now.Add(-time.Second)
	order, _ := r.order([]Peer{{ID: "third"}, {ID: "second"}, {ID: "first"}}, now)
	if diff := cmp.Diff([]Peer{{ID: "first"}, {ID: "second"}, {ID: "third"}}, order); diff != "" {
		t.Error(diff)
	}
}

// Guards against idle connections that are used since their target was connected to during an earlier cut.
func TestVerifiedTargetsAreForgottenWithTheCut(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPaths()
	p.lost("a", now)
	p.reached("b", now.Add(time.Second))
	got := []bool{p.inDoubt("b")}
	p.reached("a", now.Add(2*time.Second))
	p.lost("a", now.Add(3*time.Second))
	p.reached("c", now.Add(4*time.Second))
	got = append(got, p.inDoubt("b"), p.inDoubt("c"))
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}
