package mesh

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

// fixture is a mesh with targets and without other routers.
type fixture struct {
	now    time.Time
	node   *peer.Node
	mesh   *Mesh
	wanted Desired
	// capacityCalls counts the calls of Capacity.
	capacityCalls int
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.node = peer.NewNode(peer.NewView(f.now, peer.Member{ID: "self", Region: "r", Incarnation: 1}, peer.DefaultLimits),
		nil, nil, peer.DefaultPace, nil, 1, f.clock)
	f.wanted = Desired{Revision: 1, Services: []policy.Service{
		{Name: "s", Balance: policy.Exact, Shards: 4}, {Name: "other", Balance: policy.Exact, Shards: 2},
	}}
	f.mesh = f.newMesh()
	return f
}

func (f *fixture) clock() time.Time { return f.now }

// newMesh returns a mesh without pools on the fixture's membership view.
func (f *fixture) newMesh() *Mesh {
	return New(Parts{
		Self: peer.Member{ID: "self", Region: "r", Incarnation: 1}, Node: f.node, Logger: log.NewNopLogger(), Clock: f.clock,
		Homes:   home.New("self", home.DefaultLimits, f.clock, nil),
		Router:  route.New(route.Self{ID: "self", Region: "r"}, nil, f.clock),
		Desired: func() Desired { return f.wanted },
		Bound:   func(policy.Service) place.Bound { return place.DefaultBound },
		Capacity: func(_ policy.Service, t peer.Target) Capacity {
			f.capacityCalls++
			return Capacity{Slots: len(t.ID)}
		},
	})
}

// targetRow returns a target's row.
func targetRow(i int, service ident.Service, incarnation ident.Incarnation, state boxes.State) boxes.Box {
	return boxes.Box{
		ID: "t" + strconv.Itoa(i), Role: boxes.TargetRole, Service: service, Region: "r", State: state, Incarnation: incarnation, Addr: "127.0.0.1:1",
	}
}

// engines returns the engines by pool.
func engines(pools []route.Pool) map[ident.Pool][]place.Engine {
	out := map[ident.Pool][]place.Engine{}
	for _, p := range pools {
		out[p.Name] = p.Roster.Engines()
	}
	return out
}

// Pools that are updated target by target are equal to pools that are rebuilt, for any order of
// changes: targets that join, are removed, restart, leave or change their service, and services that
// get more shards or are removed.
func TestPoolUpdatesMatchRebuild(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFixture()
		for step := range 60 {
			f.now = f.now.Add(time.Second)
			f.node.UpdateView(func(v *peer.View) {
				for range rng.IntN(6) {
					id := rng.IntN(20)
					switch rng.IntN(6) {
					case 0:
						v.ObserveTargets(f.now, peer.TargetChanges{Removed: []ident.Target{ident.Target("t" + strconv.Itoa(id))}})
					case 1:
						v.MarkLeaving(f.now, peer.LeavingTarget{Target: ident.Target("t" + strconv.Itoa(id)), Incarnation: ident.Incarnation(step)})
					case 2:
						v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(id, "other", ident.Incarnation(step), boxes.Live)}})
					case 3:
						v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(id, "s", ident.Incarnation(step), boxes.Leaving)}})
					default:
						v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(id, "s", ident.Incarnation(step), boxes.Live)}})
					}
				}
			})
			switch rng.IntN(20) {
			case 0:
				// Services get more shards as they get more targets.
				f.wanted.Services[0].Shards = 1 << rng.IntN(4)
				f.node.UpdateView(func(v *peer.View) {
					v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(20, "s", ident.Incarnation(step), boxes.Live)}})
				})
			case 1:
				f.wanted.Revision++
				f.wanted.Services = f.wanted.Services[:1]
			}
			f.mesh.Update()
			fresh := f.newMesh()
			fresh.Update()
			if diff := cmp.Diff(engines(fresh.Set().Pools), engines(f.mesh.Set().Pools)); diff != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, diff)
			}
			if diff := cmp.Diff(len(fresh.leaving), len(f.mesh.leaving)); diff != "" {
				t.Fatalf("seed %d, step %d: leaving targets: %s", seed, step, diff)
			}
		}
	}
}

// Guards against rebuilding the pools for each change. If 400 targets a second are
// added to a pool until it has 10,000, that happens several times a second and uses a quarter of the
// 4 s of CPU time of a router's first 26 s.
func TestOnlyChangedTargetsAreUpdated(t *testing.T) {
	f := newFixture()
	var all []boxes.Box
	for i := range 1000 {
		all = append(all, targetRow(i, "s", 1, boxes.Live))
	}
	f.node.UpdateView(func(v *peer.View) { v.ObserveTargets(f.now, peer.TargetChanges{Boxes: all}) })
	f.mesh.Update()
	f.capacityCalls = 0
	f.node.UpdateView(func(v *peer.View) {
		v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(7, "s", 2, boxes.Live), targetRow(1000, "s", 1, boxes.Live)}, Removed: []ident.Target{"t9"}})
	})
	f.mesh.Update()
	if diff := cmp.Diff(2, f.capacityCalls); diff != "" {
		t.Errorf("targets updated for one that joined, one that restarted and one that was removed: %s", diff)
	}
	if diff := cmp.Diff(1000, f.mesh.Set().Pools[0].Roster.Len()); diff != "" {
		t.Errorf("targets in the pool: %s", diff)
	}
}

// BenchmarkUpdate measures the update for one restarted target.
func BenchmarkUpdate(b *testing.B) {
	for _, targets := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f := newFixture()
			f.wanted.Services[0].Shards = place.MaxShards
			var all []boxes.Box
			for i := range targets {
				all = append(all, targetRow(i, "s", 1, boxes.Live))
			}
			f.node.UpdateView(func(v *peer.View) { v.ObserveTargets(f.now, peer.TargetChanges{Boxes: all}) })
			f.mesh.Update()
			for i := 0; b.Loop(); i++ {
				f.node.UpdateView(func(v *peer.View) {
					v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(i%targets, "s", ident.Incarnation(i+2), boxes.Live)}})
				})
				f.mesh.Update()
			}
		})
	}
}

// Homes and the router's place among the readers depend on routers alone and must not be computed
// for changes of targets. These occur several times a second, and each computation takes about 1 ms
// of CPU time with 1,000 routers.
func TestNewTargetsDoNotReassignHomes(t *testing.T) {
	f := newFixture()
	f.node.UpdateView(func(v *peer.View) {
		v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(1, "s", 1, boxes.Live), targetRow(2, "other", 1, boxes.Live)}})
	})
	f.mesh.Update()
	before := f.mesh.Set()
	f.node.UpdateView(func(v *peer.View) {
		v.ObserveTargets(f.now, peer.TargetChanges{Boxes: []boxes.Box{targetRow(3, "s", 1, boxes.Live)}})
	})
	f.mesh.Update()
	if got := f.mesh.Set(); got.Live != before.Live || got.Known != before.Known || got.Pools[0].Roster == before.Pools[0].Roster {
		t.Error("a new target caused homes to be reassigned, or is in no pool")
	}
	f.node.UpdateView(func(v *peer.View) {
		v.Incoming(f.now, peer.Digest{Members: []peer.Member{{ID: "other", Region: "r", Incarnation: 1, State: peer.Live, Seq: 1}}})
	})
	f.mesh.Update()
	if got := f.mesh.Set().Live.Routers(); len(got) != 2 {
		t.Errorf("homes are assigned among %v, want the new router among them", got)
	}
}
