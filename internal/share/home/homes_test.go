package home_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

const pool ident.Pool = "judge@co"

var id = place.ShardID{Pool: pool}

// newHomes returns homes with one engine and a clock to move.
func newHomes() (*home.Homes, ident.TargetHash, *time.Time) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	h := home.New("router-a", home.DefaultLimits, func() time.Time { return now }, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
	engine := place.Engine{ID: "engine-1", Hash: ident.Target("engine-1").Hash(), Incarnation: 1}
	h.SetPool(pool, place.DefaultBound, place.NewRoster(1, []place.Engine{engine}))
	return h, engine.Hash, &now
}

func publishedDigest(engine ident.TargetHash, from ident.Router, seq uint64) place.Digest {
	return place.Digest{
		ID: id, Home: from, Seq: seq, Work: 7 * ident.OneRequest,
		Loads: []place.EngineWork{{Engine: engine, Work: 7 * ident.OneRequest}},
	}
}

// A home that takes over knows what its predecessor counted just now, but not what
// homes that are long gone once counted.
func TestNewHomeMergesOnlyUnexpiredDigests(t *testing.T) {
	h, engine, now := newHomes()
	h.Merge([]place.Digest{publishedDigest(engine, "router-old", 1)})
	*now = now.Add(place.DefaultBound.DigestLife + time.Second)
	h.Merge([]place.Digest{publishedDigest(engine, "router-new", 1)})
	h.Sync(id, "router-b", nil, 0, "")
	if diff := cmp.Diff(7, h.RequestsAt(pool, engine)); diff != "" {
		t.Error(diff)
	}
}

// The places of a shard whose home is elsewhere serve when that home is gone.
func TestReplicaPlacesAreUsedAfterTakeover(t *testing.T) {
	h, engine, _ := newHomes()
	h.Accept(home.Transfer{ID: id, Replica: true, Places: []place.ChatPlace{{Key: 7, Engine: engine, Incarnation: 1, SeenUnix: 1}}})
	if permits, _ := h.InFlight(); permits != 0 {
		t.Fatalf("%d permits out of a replica transfer", permits)
	}
	req := home.Ask{Shard: id, Request: place.Request{Edge: "router-b", Permit: 1, Key: 7, Work: ident.OneRequest}}
	if a := h.Place(t.Context(), req, nil); a.Result != home.Placed || !a.Warm {
		t.Errorf("got %+v, want a warm place", a)
	}
}

// Permits of an edge that does not speak any more must not fill a pool for ever.
func TestPermitsExpireAfterLease(t *testing.T) {
	h, engine, now := newHomes()
	for permit := range uint64(3) {
		req := home.Ask{Shard: id, Request: place.Request{Edge: "router-b", Permit: permit, Key: 7, Work: ident.OneRequest, Must: true}}
		h.Place(t.Context(), req, nil)
	}
	*now = now.Add(time.Second)
	h.Lapse()
	if diff := cmp.Diff(3, h.RequestsAt(pool, engine)); diff != "" {
		t.Errorf("within the lease: %s", diff)
	}
	*now = now.Add(5 * time.Second)
	h.Lapse()
	if diff := cmp.Diff(0, h.RequestsAt(pool, engine)); diff != "" {
		t.Errorf("after the lease: %s", diff)
	}
}

// A pool whose counts say that it is full is tried before a request is refused.
func TestFullPoolPlacesOneRequestBeyondSlots(t *testing.T) {
	h, _, _ := newHomes()
	full := place.Engine{ID: "engine-1", Hash: ident.Target("engine-1").Hash(), Incarnation: 1, Slots: ident.OneRequest}
	h.SetPool(pool, place.DefaultBound, place.NewRoster(1, []place.Engine{full}))
	want := []home.Result{home.Placed, home.Placed, home.TimedOut}
	var got []home.Result
	for permit := range uint64(3) {
		req := home.Ask{
			Shard: id, Wait: time.Millisecond,
			Request: place.Request{Edge: "router-b", Permit: permit, Key: 7, Work: ident.OneRequest, Must: true},
		}
		got = append(got, h.Place(t.Context(), req, nil).Result)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A home that has handed its shard over serves those who still ask there, passes the places on
// once, and drops the shard when all permits have gone. It still knows the places if it is
// asked again.
func TestTransferredShardServesUntilPermitsAreReleased(t *testing.T) {
	h, _, _ := newHomes()
	otherHome := func(place.ShardID) ident.Router { return "router-c" }
	req := home.Ask{Shard: id, Request: place.Request{Edge: "router-b", Permit: 1, Key: 7, Work: ident.OneRequest}}
	h.Place(t.Context(), req, nil)
	transfers := h.Misplaced(otherHome)
	if len(transfers) != 1 || transfers[0].To != "router-c" || len(transfers[0].Places) != 1 {
		t.Fatalf("got %+v, want one place for router-c", transfers)
	}
	h.Moved(id, "router-c")
	if again := h.Misplaced(otherHome); len(again) != 0 {
		t.Errorf("handed over again: %+v", again)
	}
	if permits, _ := h.InFlight(); permits != 1 {
		t.Errorf("%d permits counted, want the one that the edge holds", permits)
	}
	h.Release(id, "router-b", []uint64{1})
	h.Misplaced(otherHome)
	digests := h.Digests()
	if len(digests) == 0 || len(digests[0].Loads) != 0 {
		t.Errorf("got %+v, want a last word that nothing is counted", digests)
	}
	req.Permit = 2
	if a := h.Place(t.Context(), req, nil); a.Result != home.Placed || !a.Warm {
		t.Errorf("got %+v, want a warm place", a)
	}
}

// A home that hears of permits before it knows its pool keeps to the pool's bound later.
func TestHomeUsesBoundOfPoolSetLater(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	h := home.New("router-a", home.DefaultLimits, func() time.Time { return now }, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
	h.Sync(id, "router-b", nil, 0, "")
	bound := place.BoundOf(2)
	bound.Extra = 3 * ident.OneRequest
	one := place.Engine{ID: "engine-1", Hash: ident.Target("engine-1").Hash(), Incarnation: 1}
	two := place.Engine{ID: "engine-2", Hash: ident.Target("engine-2").Hash(), Incarnation: 1}
	h.SetPool(pool, bound, place.NewRoster(1, []place.Engine{one, two}))
	for permit := range uint64(4) {
		req := home.Ask{Shard: id, Request: place.Request{Edge: "router-b", Permit: permit + 1, Key: 7, Work: ident.OneRequest}}
		h.Place(t.Context(), req, nil)
	}
	highest := max(h.RequestsAt(pool, one.Hash), h.RequestsAt(pool, two.Hash))
	if diff := cmp.Diff(4, highest); diff != "" {
		t.Errorf("requests of one chat at one engine: %s", diff)
	}
}

// Seen: a router ended by itself, again and again, when the targets of its pool changed.
//
// How: an edge that knew more targets, and so four shards, asked it for a permit of the fourth. The router, whose pool
// had two, became home of a shard without engines; the next change looked for that shard among two.
//
// Cause: lists of engines by shard, in place of one list of all, were read at a shard that others name.
func TestShardOutsidePool(t *testing.T) {
	h, _, _ := newHomes()
	outside := place.ShardID{Pool: pool, Shard: 3}
	req := home.Ask{Shard: outside, Request: place.Request{Edge: "router-b", Permit: 1, Key: 7, Work: ident.OneRequest}}
	engine := place.Engine{ID: "engine-2", Hash: ident.Target("engine-2").Hash(), Incarnation: 1}
	for _, shards := range []int{2, 1, 4, 2} {
		if a := h.Place(t.Context(), req, nil); a.Result != home.Empty && a.Result != home.Placed {
			t.Errorf("before %d shards: got %+v", shards, a)
		}
		h.SetPool(pool, place.DefaultBound, place.NewRoster(shards, []place.Engine{engine}))
	}
}
