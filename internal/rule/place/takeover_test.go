package place_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Two routers that act as home of one shard each add the work that the other published.
func TestTwoHomesOfOneShard(t *testing.T) {
	a, list := newHome(4)
	b := place.NewHome(id, "router-z", place.DefaultBound, 0)
	b.SetEngines(list, []int{4})
	worst := 0.0
	for n := uint64(1); n <= 400; n++ {
		h, other := a, b
		if n%2 == 0 {
			h, other = b, a
		}
		d := h.Place(start, permitRequest(n, ident.ChatKey(n%30)))
		other.Merge(start, h.Digest())
		worst = max(worst, excess(h, list, d.Engine))
		if n > 40 {
			a.Release("router-b", n-40)
			b.Release("router-b", n-40)
			a.Merge(start, b.Digest())
			b.Merge(start, a.Digest())
		}
	}
	if worst > 1 {
		t.Errorf("%.2f requests above the bound", worst)
	}
	late := start.Add(place.DefaultBound.DigestTTL * 2)
	before := a.Work()
	a.Place(late, permitRequest(1000, 1))
	if a.Work() >= before {
		t.Error("counts of a silent home did not expire")
	}
}

// When a home crashes, its standby has its counts, and each edge router that moves to the standby
// sends its own permits. No permit may count twice.
func TestStandbyTakesOver(t *testing.T) {
	a, list := newHome(4)
	var held []place.Permit
	for n := uint64(1); n <= 20; n++ {
		d := a.Place(start, permitRequest(n, ident.ChatKey(n)))
		held = append(held, place.Permit{Edge: "router-b", ID: n, Engine: d.Engine, Work: ident.OneRequest})
	}
	b := place.NewHome(id, "router-z", place.DefaultBound, 0)
	b.SetEngines(list, []int{4})
	b.Merge(start, a.Digest())
	if diff := cmp.Diff(a.Work(), b.Work()); diff != "" {
		t.Error(diff)
	}
	b.Sync("router-b", held, 20, "router-a")
	if diff := cmp.Diff(a.Work(), b.Work()); diff != "" {
		t.Error(diff)
	}
	b.Sync("router-b", held, 20, "router-a")
	if diff := cmp.Diff(a.Work(), b.Work()); diff != "" {
		t.Error(diff)
	}
}

// The permits of a suspect edge router count on their engines, but not in the mean.
func TestSuspectEdge(t *testing.T) {
	h, _ := newHome(2)
	for n := uint64(1); n <= 8; n++ {
		h.Place(start, permitRequest(n, ident.ChatKey(n)))
	}
	total, work := h.Total(start), h.Work()
	h.SetSuspectEdges([]ident.Router{"router-b"})
	if h.Work() != work || h.Total(start) != 0 {
		t.Errorf("work %d and total %d, want %d and 0", h.Work(), h.Total(start), work)
	}
	h.SetSuspectEdges(nil)
	if got := h.Total(start); got != total {
		t.Errorf("total %d without suspect edge routers, want %d", got, total)
	}
}

// A new home counts the permits that its predecessor published until the edge router sends its own
// list, and has the chats' places.
func TestShardHandoff(t *testing.T) {
	a, list := newHome(2)
	for n := uint64(1); n <= 4; n++ {
		a.Place(start, permitRequest(n, ident.ChatKey(n)))
	}
	b := place.NewHome(id, "router-z", place.DefaultBound, 0)
	b.SetEngines(list, []int{2})
	b.Merge(start, a.Digest())
	b.MergePlaces(a.Places(10))
	if diff := cmp.Diff(a.Work(), b.Work()); diff != "" {
		t.Error(diff)
	}
	// Only permit 4 is left.
	b.Sync("router-b", []place.Permit{{Edge: "router-b", ID: 4, Engine: list[0].Hash, Work: ident.OneRequest}}, 4, "router-a")
	a.RemovePermits("router-b", 5)
	b.Merge(start, a.Digest())
	if diff := cmp.Diff(ident.OneRequest, b.Work()); diff != "" {
		t.Error(diff)
	}
	if got := b.Held("router-b"); got != 1 {
		t.Errorf("counted %d permits, want the 1 in the edge router's list", got)
	}
	if d := b.Place(start, permitRequest(9, 1)); !d.Warm {
		t.Error("the new home does not have the chat's place")
	}
	b.RemovePermits("router-b", 9)
	if got := b.Held("router-b"); got != 1 {
		t.Errorf("counted %d permits after removal of those of an earlier process, want 1", got)
	}
}
