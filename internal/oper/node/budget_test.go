package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/oper/mesh"
	"valescale/internal/rule/retry"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

// Guards against a router without retries for the first requests of a service. If the window starts
// with the first request instead of the process, the router's part of the fleet's extra retries
// grows from zero over the following ten seconds. In a fleet of 986 routers, each of which receives
// a repeatable request about every ten seconds, 130 of 1,728 such requests fail although only a
// tenth of the retry budget is used. That is seven times as many as fail because two targets in a
// row do.
func TestRetryBudgetOfFirstRequestsInALargeFleet(t *testing.T) {
	const routers = 986
	allowance := retry.Allowance{Ratio: 0.2, Extra: 1040, Span: 10 * time.Second}
	start := time.Unix(1000, 0)
	b := newRetryBudget(start, allowance, func() int { return routers })
	got := map[string]bool{}
	b.Request("early", start.Add(time.Second))
	got["in the first second of the process"] = b.Retry("early", start.Add(time.Second))
	b.Request("s", start.Add(time.Minute))
	got["after one minute"] = b.Retry("s", start.Add(time.Minute))
	got["second retry at the same time"] = b.Retry("s", start.Add(time.Minute))
	want := map[string]bool{"in the first second of the process": false, "after one minute": true, "second retry at the same time": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against routers that take too large a share of the fleet's extra retries, because they
// divide it by fewer routers than may retry: those that stop still serve requests, and the allowance
// is one for all regions.
func TestRetryShareWhileRoutersStop(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	self := peer.Member{ID: "self", Region: "r", Incarnation: 1}
	peers := peer.NewNode(peer.NewView(now, self, peer.DefaultLimits), nil, nil, peer.DefaultPace, nil, 1, clock)
	for _, m := range []peer.Member{
		{ID: "live", Region: "r", State: peer.Live}, {ID: "stopping", Region: "r", State: peer.Leaving},
		{ID: "also-stopping", Region: "r", State: peer.Leaving}, {ID: "unreachable", Region: "r", State: peer.Dead},
		{ID: "other-region", Region: "q", State: peer.Live},
	} {
		m.Incarnation, m.Seq = 1, 1
		peers.UpdateView(func(v *peer.View) { v.Incoming(now, peer.Digest{From: m.ID, Members: []peer.Member{m}}) })
	}
	n := &Node{self: self, peers: peers, mesh: mesh.New(mesh.Parts{
		Self: self, Node: peers, Logger: log.NewNopLogger(), Clock: clock, Homes: home.New("self", home.DefaultLimits, clock, nil),
		Router: route.New(route.Self{ID: "self", Region: "r"}, nil, clock), Desired: func() mesh.Desired { return mesh.Desired{} },
	})}
	n.mesh.Update()
	if diff := cmp.Diff(6, n.fleetSize()); diff != "" {
		t.Error(diff)
	}
}
