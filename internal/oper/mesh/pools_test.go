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

// field is a mesh before targets, without other routers.
type field struct {
	now    time.Time
	node   *peer.Node
	mesh   *Mesh
	wanted Wanted
	// looked counts how often a target's capacity was asked for.
	looked int
}

func newField() *field {
	f := &field{now: time.Unix(1000, 0)}
	f.node = peer.NewNode(peer.NewView(f.now, peer.Member{ID: "self", Region: "r", Incarnation: 1}, peer.DefaultLimits),
		nil, nil, peer.DefaultPace, nil, 1, f.clock)
	f.wanted = Wanted{Revision: 1, Services: []policy.Service{
		{Name: "s", Balance: policy.Exact, Shards: 4}, {Name: "other", Balance: policy.Exact, Shards: 2},
	}}
	f.mesh = f.newMesh()
	return f
}

func (f *field) clock() time.Time { return f.now }

// newMesh returns a mesh that has seen nothing yet.
func (f *field) newMesh() *Mesh {
	return New(Parts{
		Self: peer.Member{ID: "self", Region: "r", Incarnation: 1}, Node: f.node, Logger: log.NewNopLogger(), Clock: f.clock,
		Homes:  home.New("self", home.DefaultLimits, f.clock, nil),
		Router: route.New(route.Self{ID: "self", Region: "r"}, nil, f.clock),
		Wanted: func() Wanted { return f.wanted },
		Bound:  func(policy.Service) place.Bound { return place.DefaultBound },
		Capacity: func(_ policy.Service, t peer.Target) Capacity {
			f.looked++
			return Capacity{Slots: len(t.ID)}
		},
	})
}

// box is a target's row.
func box(i int, service ident.Service, incarnation ident.Incarnation, state boxes.State) boxes.Box {
	return boxes.Box{
		ID: "t" + strconv.Itoa(i), Role: boxes.TargetRole, Service: service, Region: "r", State: state, Incarnation: incarnation, Addr: "127.0.0.1:1",
	}
}

// engines lists what pools hold, by pool.
func engines(pools []route.Pool) map[ident.Pool][]place.Engine {
	out := map[ident.Pool][]place.Engine{}
	for _, p := range pools {
		out[p.Name] = p.Roster.Engines()
	}
	return out
}

// Pools that follow single targets are the same as pools made anew of all, whatever comes in whatever order: targets
// that come, go, start again, leave, change their service, and services that get more shards or go.
func TestPoolsFollowTargets(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newField()
		for step := range 60 {
			f.now = f.now.Add(time.Second)
			f.node.Do(func(v *peer.View) {
				for range rng.IntN(6) {
					id := rng.IntN(20)
					switch rng.IntN(6) {
					case 0:
						v.ObserveTargets(f.now, peer.TargetNews{Gone: []ident.Target{ident.Target("t" + strconv.Itoa(id))}})
					case 1:
						v.MarkLeaving(f.now, peer.Mark{Target: ident.Target("t" + strconv.Itoa(id)), Incarnation: ident.Incarnation(step)})
					case 2:
						v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(id, "other", ident.Incarnation(step), boxes.Live)}})
					case 3:
						v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(id, "s", ident.Incarnation(step), boxes.Leaving)}})
					default:
						v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(id, "s", ident.Incarnation(step), boxes.Live)}})
					}
				}
			})
			switch rng.IntN(20) {
			case 0:
				// Services get more shards as they get more targets.
				f.wanted.Services[0].Shards = 1 << rng.IntN(4)
				f.node.Do(func(v *peer.View) {
					v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(20, "s", ident.Incarnation(step), boxes.Live)}})
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
				t.Fatalf("seed %d, step %d: targets that leave: %s", seed, step, diff)
			}
		}
	}
}

// Seen: a router before 10,000 targets of which 400 a second came made pools of all of them anew several times a
// second, a quarter of 4 s of a core in its first 26 s.
func TestOnlyTargetsThatChangedAreLookedAt(t *testing.T) {
	f := newField()
	var all []boxes.Box
	for i := range 1000 {
		all = append(all, box(i, "s", 1, boxes.Live))
	}
	f.node.Do(func(v *peer.View) { v.ObserveTargets(f.now, peer.TargetNews{Boxes: all}) })
	f.mesh.Update()
	f.looked = 0
	f.node.Do(func(v *peer.View) {
		v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(7, "s", 2, boxes.Live), box(1000, "s", 1, boxes.Live)}, Gone: []ident.Target{"t9"}})
	})
	f.mesh.Update()
	if diff := cmp.Diff(2, f.looked); diff != "" {
		t.Errorf("targets looked at for one that came, one that started again and one that went: %s", diff)
	}
	if diff := cmp.Diff(1000, f.mesh.Set().Pools[0].Roster.Len()); diff != "" {
		t.Errorf("targets in the pool: %s", diff)
	}
}

// BenchmarkUpdate is one target that starts again.
func BenchmarkUpdate(b *testing.B) {
	for _, targets := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f := newField()
			f.wanted.Services[0].Shards = place.MaxShards
			var all []boxes.Box
			for i := range targets {
				all = append(all, box(i, "s", 1, boxes.Live))
			}
			f.node.Do(func(v *peer.View) { v.ObserveTargets(f.now, peer.TargetNews{Boxes: all}) })
			f.mesh.Update()
			for i := 0; b.Loop(); i++ {
				f.node.Do(func(v *peer.View) {
					v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(i%targets, "s", ident.Incarnation(i+2), boxes.Live)}})
				})
				f.mesh.Update()
			}
		})
	}
}

// Found by arithmetic: while targets come several times a second, homes and the router's place among the readers were
// found anew for each of their news, 1 ms of a core among 1,000 routers. They depend on routers alone.
func TestTargetsThatComeLeaveHomesAsTheyAre(t *testing.T) {
	f := newField()
	f.node.Do(func(v *peer.View) {
		v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(1, "s", 1, boxes.Live), box(2, "other", 1, boxes.Live)}})
	})
	f.mesh.Update()
	before := f.mesh.Set()
	f.node.Do(func(v *peer.View) {
		v.ObserveTargets(f.now, peer.TargetNews{Boxes: []boxes.Box{box(3, "s", 1, boxes.Live)}})
	})
	f.mesh.Update()
	if got := f.mesh.Set(); got.Live != before.Live || got.Known != before.Known || got.Pools[0].Roster == before.Pools[0].Roster {
		t.Error("a target that came had homes found anew, or is in no pool")
	}
	f.node.Do(func(v *peer.View) {
		v.Incoming(f.now, peer.Digest{Members: []peer.Member{{ID: "other", Region: "r", Incarnation: 1, State: peer.Live, Seq: 1}}})
	})
	f.mesh.Update()
	if got := f.mesh.Set().Live.Routers(); len(got) != 2 {
		t.Errorf("homes are among %v, want the router that came among them", got)
	}
}
