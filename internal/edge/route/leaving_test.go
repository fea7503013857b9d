package route_test

import (
	"testing"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// leaves has the router know that a target leaves, as its own answers told, which no home has heard yet.
func (f *fleet) leaves(target ident.Target) {
	p := f.pools[0]
	p.Engines = append([]place.Engine(nil), p.Engines...)
	for i := range p.Engines {
		p.Engines[i].Leaving = p.Engines[i].Leaving || p.Engines[i].ID == target
	}
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
func TestHomeThatDoesNotKnowThatATargetLeaves(t *testing.T) {
	f, r, assigned := newFleet()
	f.leaves("engine-1")
	r.Set(f.pools, assigned)
	for key := range ident.ChatKey(10) {
		p := acquire(t, r, key)
		if p.Target.ID == "engine-1" {
			t.Errorf("chat %d was sent to the target that leaves", key)
		}
		p.Release()
	}
	f.run()
	if got := f.permits(assigned.Home(id)); got != 0 {
		t.Errorf("%d places are still counted at the home, want all given back", got)
	}
}

// Found while the incident of targets that ask for backoff was looked at: a target that could not be reached gets
// one request on trial; if that ends without a verdict, since the target turns it away or its caller leaves,
// the trial never ended, and the router sent the target nothing for as long as both lived.
func TestTrialWithoutAVerdict(t *testing.T) {
	f, r, _ := newFleet()
	r.Unreachable(ident.Target("engine-1").Hash())
	f.now = f.now.Add(2 * time.Second)
	trials := 0
	for key := range ident.ChatKey(20) {
		p := acquire(t, r, key)
		if p.Target.ID == "engine-1" {
			trials++
		}
		// Nobody reports how it went.
		p.Release()
		f.run()
	}
	if trials < 2 {
		t.Errorf("the target got %d trials in 20 requests, want more while none brings a verdict", trials)
	}
}
