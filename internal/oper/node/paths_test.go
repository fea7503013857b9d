package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peer"
)

// Guards against a router that holds against targets what its own lost paths have caused: once it is cut
// off, and peers reach the targets for it, all of them receive requests again.
func TestCutOffRouterForgetsFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	r := route.New(route.Self{ID: "self", Region: "r"}, nil, func() time.Time { return now })
	var engines []place.Engine
	for _, id := range []ident.Target{"one", "two"} {
		engines = append(engines, place.Engine{ID: id, Hash: id.Hash(), Incarnation: 1})
	}
	service := policy.Service{Name: "s", Balance: policy.Local, Shards: 1}
	r.Set([]route.Pool{{
		Name: "s@r", Region: "r", Service: service, Bound: place.DefaultBound, Roster: place.NewRoster(1, engines),
	}}, place.Assign(nil, []ident.Router{"self"}))
	n := &Node{router: r}
	used := func() map[ident.Target]bool {
		out := map[ident.Target]bool{}
		for key := range ident.ChatKey(20) {
			p, err := r.Acquire(context.Background(), route.TargetRequest{Service: "s", Key: key, Work: ident.OneRequest})
			if err != nil {
				t.Fatal(err)
			}
			out[p.Target.ID] = true
			p.Release()
		}
		return out
	}
	both, two := map[ident.Target]bool{"one": true, "two": true}, map[ident.Target]bool{"two": true}
	r.ReportUnreachable(ident.Target("one").Hash())
	got := []map[ident.Target]bool{used()}
	n.pathsChanged(false)
	got = append(got, used())
	n.pathsChanged(true)
	got = append(got, used())
	if diff := cmp.Diff([]map[ident.Target]bool{two, two, both}, got); diff != "" {
		t.Error(diff)
	}
}

// Tunnels are accepted from the boxes of known routers only, and asked for at live routers of the region,
// those of the own availability zone first.
func TestTunnelPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	self := peer.Member{ID: "self", Zone: "a", Region: "r", Addr: "10.0.0.1:1", Incarnation: 1}
	peers := peer.NewNode(peer.NewView(now, self, peer.DefaultLimits), nil, nil, peer.DefaultPace, nil, 1, func() time.Time { return now })
	for _, m := range []peer.Member{
		{ID: "far", Zone: "b", Region: "r", Addr: "10.0.0.2:1", State: peer.Live}, {ID: "near", Zone: "a", Region: "r", Addr: "10.0.0.3:1", State: peer.Live},
		{ID: "stopping", Zone: "a", Region: "r", Addr: "10.0.0.4:1", State: peer.Leaving}, {ID: "other-region", Zone: "c", Region: "q", Addr: "10.0.0.5:1", State: peer.Live},
	} {
		m.Incarnation, m.Seq = 1, 1
		peers.UpdateView(func(v *peer.View) { v.Incoming(now, peer.Digest{From: m.ID, Members: []peer.Member{m}}) })
	}
	n := &Node{self: self, peers: peers}
	var got []ident.Router
	for _, p := range n.tunnelPeers() {
		got = append(got, p.ID)
	}
	if diff := cmp.Diff([]ident.Router{"near", "far"}, got); diff != "" {
		t.Error(diff)
	}
	known := []bool{n.isRouterHost("10.0.0.4:999"), n.isRouterHost("10.0.0.9:1"), n.isRouterHost("10.0.0.3")}
	if diff := cmp.Diff([]bool{true, false, false}, known); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests for tunnels that only reach the own availability zone, all of which may be cut off:
// peers of this zone and of others come by turns.
func TestTunnelPeersOfZonesAlternate(t *testing.T) {
	now := time.Unix(1000, 0)
	self := peer.Member{ID: "self", Zone: "a", Region: "r", Addr: "10.0.0.1:1", Incarnation: 1}
	peers := peer.NewNode(peer.NewView(now, self, peer.DefaultLimits), nil, nil, peer.DefaultPace, nil, 1, func() time.Time { return now })
	for i, zone := range []string{"a", "a", "a", "a", "b", "c"} {
		m := peer.Member{
			ID: ident.Router(fmt.Sprint(zone, i)), Zone: ident.Zone(zone), Region: "r", Addr: "10.0.0.2:1", State: peer.Live, Incarnation: 1, Seq: 1,
		}
		peers.UpdateView(func(v *peer.View) { v.Incoming(now, peer.Digest{From: m.ID, Members: []peer.Member{m}}) })
	}
	n := &Node{self: self, peers: peers}
	var got []bool
	for _, p := range n.tunnelPeers() {
		got = append(got, p.ID[0] == 'a')
	}
	if diff := cmp.Diff([]bool{true, false, true, false, true, true}, got); diff != "" {
		t.Errorf("whether each peer is of the own zone: %s", diff)
	}
}
