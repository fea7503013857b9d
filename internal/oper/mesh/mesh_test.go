package mesh

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peer"
)

// A router that decides alone keeps to the same bound as homes do.
func TestPoolsHaveTheBound(t *testing.T) {
	want := place.Bound{Factor: 1.9, Extra: 2500, Steady: 1.3}
	m := New(Parts{Bound: func(policy.Service) place.Bound { return want }})
	got := m.pool(policy.Service{Name: "s", Shards: 1}, "region", nil).Bound
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A target whose zone is closed gets no new work, and one whose zone was opened again starts
// slowly like one that has joined: its caches have cooled.
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
		{"open again", Capacity{Reopened: reopened}, place.Engine{Joined: reopened}},
		{"joined after it was opened", Capacity{Reopened: joined.Add(-time.Minute)}, place.Engine{Joined: joined}},
	} {
		m := New(Parts{
			Bound:    func(policy.Service) place.Bound { return place.Bound{} },
			Capacity: func(policy.Service, peer.Target) Capacity { return c.capacity },
		})
		got := m.pool(policy.Service{Name: "s", Shards: 1}, "region", []peer.Target{{ID: "t", Joined: joined}}).Engines
		c.want.ID, c.want.Hash = "t", got[0].Hash
		if diff := cmp.Diff([]place.Engine{c.want}, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
