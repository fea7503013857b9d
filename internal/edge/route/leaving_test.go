package route_test

import (
	"testing"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// leaves has the router know that a target leaves, as its own answers told, which no home has heard yet.
func (f *fleet) markLeaving(target ident.Target) {
	p := f.pools[0]
	leaver, _ := p.Roster.Engine(target.Hash())
	leaver.Leaving = true
	p.Roster = p.Roster.With([]place.Engine{leaver}, nil)
	f.pools[0] = p
}

// Seen: requests reached a target that had said in its answers that it leaves, from the router that had
// passed such an answer on (platform, TestTargetThatLeavesByItsAnswersOnly).
//
// How: that router knows, but the home of the target's shard, at another router, may not for a while, or for
// as long as a cut lasts; it gives the target's places out, and the router took them.
//
// Cause: what a home grants was not held against what the router itself knows.
//
// Proof: here no home ever hears of it.
func TestLeavingTargetUnknownToHome(t *testing.T) {
	f, r, assigned := newFleet()
	f.markLeaving("engine-1")
	r.Set(f.pools, assigned)
	for key := range ident.ChatKey(10) {
		p := acquire(t, r, key)
		if p.Target.ID == "engine-1" {
			t.Errorf("chat %d was sent to the target that leaves", key)
		}
		p.Release()
	}
	f.runDeferred()
	if got := f.permits(assigned.Home(id)); got != 0 {
		t.Errorf("%d places are still counted at the home, want all given back", got)
	}
}

// Found by reading: the pools of a box that is short of processor time follow the view when their loop gets its
// turn, which at a fifth of 0.4 cores may be seconds after the answer that told of leaving was passed on. A router
// that has passed it on sends the target nothing more, whatever its pools say; nor once they say it, nor if
// the target goes and comes back; another start of it is another target.
func TestLeavingAppliesBeforePoolUpdate(t *testing.T) {
	f, r, assigned := newFleet()
	leaver, _ := f.pools[0].Target(ident.Target("engine-1").Hash())
	r.Observe(leaver, route.Notice{Leaving: true})
	chats := ident.ChatKey(0)
	sent := func() int {
		count := 0
		for range 10 {
			chats++
			p := acquire(t, r, chats)
			if p.Target.ID == leaver.ID {
				count++
			}
			p.Release()
		}
		f.runDeferred()
		return count
	}
	if got := sent(); got != 0 {
		t.Errorf("%d of 10 requests were sent to a target that had said that it leaves", got)
	}
	// Pools that were made of what was known before change nothing.
	r.Set(f.pools, assigned)
	if got := sent(); got != 0 {
		t.Errorf("%d of 10 requests were sent there after pools that did not know it yet", got)
	}
	restarted := f.pools[0]
	engines := restarted.Roster.Engines()
	for i := range engines {
		engines[i].Incarnation++
	}
	restarted.Roster = place.NewRoster(1, engines)
	r.Set([]route.Pool{restarted}, assigned)
	if got := sent(); got == 0 {
		t.Error("a target that has started anew gets nothing")
	}
}

// Found while the incident of targets that ask for backoff was looked at: a target that could not be reached gets
// one request on trial; if that ends without a verdict, since the target turns it away or its caller leaves,
// the trial never ended, and the router sent the target nothing for as long as both lived.
func TestProbeWithoutResult(t *testing.T) {
	f, r, _ := newFleet()
	r.Unreachable(ident.Target("engine-1").Hash())
	f.now = f.now.Add(2 * time.Second)
	probes := 0
	for key := range ident.ChatKey(20) {
		p := acquire(t, r, key)
		if p.Target.ID == "engine-1" {
			probes++
		}
		// Nobody reports how it went.
		p.Release()
		f.runDeferred()
	}
	if probes < 2 {
		t.Errorf("the target got %d trials in 20 requests, want more while none brings a verdict", probes)
	}
}
