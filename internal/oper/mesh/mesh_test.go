package mesh

import (
	"fmt"
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

// A router that grants permits without a home uses the same bound as homes do.
func TestPoolBound(t *testing.T) {
	want := place.Bound{Factor: 1.9, Extra: 2500, PreferredFactor: 1.3}
	m := New(Parts{Bound: func(policy.Service) place.Bound { return want }})
	got := m.pool(policy.Service{Name: "s", Shards: 1}, "region", nil).Bound
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A target in a closed zone receives no new requests. One whose zone was opened again starts slowly
// like one that has joined, as its caches are cold.
func TestClosedAndReopenedTargets(t *testing.T) {
	joined := time.Unix(100, 0)
	reopened := joined.Add(time.Minute)
	for _, c := range []struct {
		name     string
		capacity Capacity
		want     place.Engine
	}{
		{"open", Capacity{}, place.Engine{Joined: joined}},
		{"closed", Capacity{Closed: true}, place.Engine{Joined: joined, Leaving: true}},
		{"reopened", Capacity{Reopened: reopened}, place.Engine{Joined: reopened}},
		{"joined after its zone was opened", Capacity{Reopened: joined.Add(-time.Minute)}, place.Engine{Joined: joined}},
	} {
		m := New(Parts{
			Bound:    func(policy.Service) place.Bound { return place.Bound{} },
			Capacity: func(policy.Service, peer.Target) Capacity { return c.capacity },
		})
		got := m.pool(policy.Service{Name: "s", Shards: 1}, "region", []peer.Target{{ID: "t", Joined: joined}}).Roster.Engines()
		c.want.ID, c.want.Hash = "t", got[0].Hash
		if diff := cmp.Diff([]place.Engine{c.want}, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// While a fleet restarts, routers join the view one after the other. If each of them causes all
// pools to be rebuilt, that takes a third of the CPU time of 120 routers with 3,000 targets in their
// first seconds, and of 300 small boxes for half a minute.
func TestNewRoutersDoNotRebuildPools(t *testing.T) {
	const targets, routers = 300, 50
	now := time.Unix(1000, 0)
	self := peer.Member{ID: "self", Region: "r", Incarnation: 1}
	view := peer.NewView(now, self, peer.DefaultLimits)
	node := peer.NewNode(view, nil, nil, peer.DefaultPace, nil, 1, func() time.Time { return now })
	capacityCalls := 0
	m := New(Parts{
		Self: self, Node: node, Logger: log.NewNopLogger(), Clock: func() time.Time { return now },
		Homes:  home.New("self", home.DefaultLimits, func() time.Time { return now }, nil),
		Router: route.New(route.Self{ID: "self", Region: "r"}, nil, func() time.Time { return now }),
		Desired: func() Desired {
			return Desired{Revision: 1, Services: []policy.Service{{Name: "s", Balance: policy.Exact, Shards: 4}}}
		},
		Bound: func(policy.Service) place.Bound { return place.DefaultBound },
		Capacity: func(policy.Service, peer.Target) Capacity {
			capacityCalls++
			return Capacity{Slots: 8}
		},
	})
	var list []boxes.Box
	for i := range targets {
		list = append(list, boxes.Box{
			ID: fmt.Sprint("t", i), Role: boxes.TargetRole, Service: "s", Region: "r", State: boxes.Live, Incarnation: 1, Addr: "127.0.0.1:1",
		})
	}
	node.UpdateView(func(v *peer.View) { v.ObserveList(now, list) })
	m.Update()
	if capacityCalls != targets {
		t.Fatalf("capacity of %d targets was read, want %d", capacityCalls, targets)
	}
	for i := range routers {
		d := peer.Digest{Members: []peer.Member{{ID: ident.Router(fmt.Sprint("r", i)), Region: "r", Incarnation: 1, State: peer.Live, Seq: 1}}}
		node.UpdateView(func(v *peer.View) { v.Incoming(now, d) })
		m.Update()
	}
	if capacityCalls != targets {
		t.Errorf("capacity of %d targets was read again for %d new routers", capacityCalls-targets, routers)
	}
	if got := len(m.Set().Live.Routers()); got != routers+1 {
		t.Errorf("homes are assigned among %d routers, want %d", got, routers+1)
	}
	node.UpdateView(func(v *peer.View) { v.MarkLeaving(now, peer.LeavingTarget{Target: "t0", Incarnation: 1}) })
	m.Update()
	leaving := 0
	for _, e := range m.Set().Pools[0].Roster.Engines() {
		if e.Leaving {
			leaving++
		}
	}
	if leaving != 1 {
		t.Errorf("%d targets are leaving, want one", leaving)
	}
}
