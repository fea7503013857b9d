package route_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// markLeaving marks a target as leaving in this router's pool, as its own answers reported. The
// homes do not have this state.
func (f *fleet) markLeaving(target ident.Target) {
	p := f.pools[0]
	leaving, _ := p.Roster.Engine(target.Hash())
	leaving.Leaving = true
	p.Roster = p.Roster.With([]place.Engine{leaving}, nil)
	f.pools[0] = p
}

// Guards against requests that are sent to a leaving target by a router that has received the
// target's leaving header. The home of the target's shard, on another router, may not have this
// state for as long as a network partition lasts, and still grants permits on the target. The
// router must check granted permits against its own state. Here the homes never receive the state.
func TestLeavingTargetUnknownToHome(t *testing.T) {
	f, r, assigned := newFleet()
	f.markLeaving("engine-1")
	r.Set(f.pools, assigned)
	for key := range ident.ChatKey(10) {
		p := acquire(t, r, key)
		if p.Target.ID == "engine-1" {
			t.Errorf("chat %d was sent to the leaving target", key)
		}
		p.Release()
	}
	f.runDeferred()
	if got := f.permits(assigned.Home(id)); got != 0 {
		t.Errorf("the home still counts %d permits, want all released", got)
	}
}

// Guards against requests to a leaving target between its answer and the next update of the pools.
// On a box short of processor time, at a fifth of 0.4 cores, that update may follow seconds after
// the answer. The router sends the target nothing more in between, nor after the update, nor if the
// target is removed and returns. A new incarnation is not affected.
func TestLeavingAppliesBeforePoolUpdate(t *testing.T) {
	f, r, assigned := newFleet()
	leaving, _ := f.pools[0].Target(ident.Target("engine-1").Hash())
	r.ReportNotice(leaving, route.Notice{Leaving: true})
	chats := ident.ChatKey(0)
	sent := func() int {
		count := 0
		for range 10 {
			chats++
			p := acquire(t, r, chats)
			if p.Target.ID == leaving.ID {
				count++
			}
			p.Release()
		}
		f.runDeferred()
		return count
	}
	if got := sent(); got != 0 {
		t.Errorf("%d of 10 requests were sent to a target that had reported that it is leaving", got)
	}
	// Pools that are built from older state change nothing.
	r.Set(f.pools, assigned)
	if got := sent(); got != 0 {
		t.Errorf("%d of 10 requests were sent there after an update with older pools", got)
	}
	restarted := f.pools[0]
	engines := restarted.Roster.Engines()
	for i := range engines {
		engines[i].Incarnation++
	}
	restarted.Roster = place.NewRoster(1, engines)
	r.Set([]route.Pool{restarted}, assigned)
	if got := sent(); got == 0 {
		t.Error("a target that has restarted gets no requests")
	}
}

// Guards against a target that never gets another request. A target that was unreachable gets one
// probe request from its half-open circuit breaker. If the probe ends without a result, because the
// target rejects it or the caller disconnects, the probe must still end, so that the breaker allows
// the next one.
func TestProbeWithoutResult(t *testing.T) {
	f, r, _ := newFleet()
	r.ReportUnreachable(ident.Target("engine-1").Hash())
	f.now = f.now.Add(2 * time.Second)
	probes := 0
	for key := range ident.ChatKey(20) {
		p := acquire(t, r, key)
		if p.Target.ID == "engine-1" {
			probes++
		}
		// No result is reported for the request.
		p.Release()
		f.runDeferred()
	}
	if probes < 2 {
		t.Errorf("the target got %d probes in 20 requests, want more while none has a result", probes)
	}
}

// Guards against whole answers of leaving targets that count as broken, and broken ones of targets that run or
// have started again that do not: a target is leaving if it is listed so, has said so, or is not listed any more.
func TestIsLeaving(t *testing.T) {
	f, r, assigned := newFleet()
	one, _ := f.pools[0].Target(ident.Target("engine-1").Hash())
	two, _ := f.pools[0].Target(ident.Target("engine-2").Hash())
	earlier := one
	earlier.Incarnation--
	got := []bool{r.IsLeaving(one), r.IsLeaving(two), r.IsLeaving(earlier), r.IsLeaving(route.Target{ID: "engine-3", Incarnation: 1})}
	r.ReportNotice(one, route.Notice{Leaving: true})
	f.markLeaving("engine-2")
	r.Set(f.pools, assigned)
	got = append(got, r.IsLeaving(one), r.IsLeaving(two))
	if diff := cmp.Diff([]bool{false, false, false, true, true, true}, got); diff != "" {
		t.Error(diff)
	}
}
