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

// newHomes returns homes with one engine, and the clock that the test advances.
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

// A new home counts the load that its predecessor published within the lifetime of a digest, and
// ignores digests that have expired.
func TestNewHomeMergesOnlyUnexpiredDigests(t *testing.T) {
	h, engine, now := newHomes()
	h.Merge([]place.Digest{publishedDigest(engine, "router-old", 1)})
	*now = now.Add(place.DefaultBound.DigestTTL + time.Second)
	h.Merge([]place.Digest{publishedDigest(engine, "router-new", 1)})
	h.Sync(id, "router-b", nil, 0, "")
	if diff := cmp.Diff(7, h.EngineRequests(pool, engine)); diff != "" {
		t.Error(diff)
	}
}

// Replicated chat places of a shard are used once this router takes over from the shard's home.
func TestReplicaPlacesAreUsedAfterTakeover(t *testing.T) {
	h, engine, _ := newHomes()
	h.Accept(home.Transfer{ID: id, Replica: true, Places: []place.ChatPlace{{Key: 7, Engine: engine, Incarnation: 1, SeenUnix: 1}}})
	if permits, _ := h.InFlight(); permits != 0 {
		t.Fatalf("replica transfer added %d permits", permits)
	}
	req := home.PermitRequest{Shard: id, Request: place.Request{Edge: "router-b", Permit: 1, Key: 7, Work: ident.OneRequest}}
	if a := h.Place(t.Context(), req, nil); a.Result != home.Placed || !a.Warm {
		t.Errorf("got %+v, want a warm placement", a)
	}
}

// Permits of an edge router that makes no contact any more expire, so that they don't take up the
// slots of a pool for ever.
func TestPermitsExpireAfterLease(t *testing.T) {
	h, engine, now := newHomes()
	for permit := range uint64(3) {
		req := home.PermitRequest{Shard: id, Request: place.Request{Edge: "router-b", Permit: permit, Key: 7, Work: ident.OneRequest, MustPlace: true}}
		h.Place(t.Context(), req, nil)
	}
	*now = now.Add(time.Second)
	h.ExpirePermits()
	if diff := cmp.Diff(3, h.EngineRequests(pool, engine)); diff != "" {
		t.Errorf("within the lease: %s", diff)
	}
	*now = now.Add(5 * time.Second)
	h.ExpirePermits()
	if diff := cmp.Diff(0, h.EngineRequests(pool, engine)); diff != "" {
		t.Errorf("after the lease: %s", diff)
	}
}

// A request that has waited in vain at a pool whose slots are all counted as taken is placed beyond
// the slots before requests are rejected, because some of the counted permits may not exist.
func TestFullPoolPlacesOneRequestBeyondSlots(t *testing.T) {
	h, _, _ := newHomes()
	full := place.Engine{ID: "engine-1", Hash: ident.Target("engine-1").Hash(), Incarnation: 1, Slots: ident.OneRequest}
	h.SetPool(pool, place.DefaultBound, place.NewRoster(1, []place.Engine{full}))
	want := []home.Result{home.Placed, home.Placed, home.TimedOut}
	var got []home.Result
	for permit := range uint64(3) {
		req := home.PermitRequest{
			Shard: id, Wait: time.Millisecond,
			Request: place.Request{Edge: "router-b", Permit: permit, Key: 7, Work: ident.OneRequest, MustPlace: true},
		}
		got = append(got, h.Place(t.Context(), req, nil).Result)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A home that has transferred its shard still serves the edge routers that use it, transfers the
// chat places once, and removes the shard when all permits have been released. It keeps the places
// in case it becomes home again.
func TestTransferredShardServesUntilPermitsAreReleased(t *testing.T) {
	h, _, _ := newHomes()
	otherHome := func(place.ShardID) ident.Router { return "router-c" }
	req := home.PermitRequest{Shard: id, Request: place.Request{Edge: "router-b", Permit: 1, Key: 7, Work: ident.OneRequest}}
	h.Place(t.Context(), req, nil)
	transfers := h.PendingTransfers(otherHome)
	if len(transfers) != 1 || transfers[0].To != "router-c" || len(transfers[0].Places) != 1 {
		t.Fatalf("got %+v, want one chat place for router-c", transfers)
	}
	h.Moved(id, "router-c")
	if again := h.PendingTransfers(otherHome); len(again) != 0 {
		t.Errorf("shard transferred twice: %+v", again)
	}
	if permits, _ := h.InFlight(); permits != 1 {
		t.Errorf("home counts %d permits, want the one that the edge router holds", permits)
	}
	h.Release(id, "router-b", []uint64{1})
	h.PendingTransfers(otherHome)
	digests := h.Digests()
	if len(digests) == 0 || len(digests[0].Loads) != 0 {
		t.Errorf("got %+v, want a final digest without loads", digests)
	}
	req.Permit = 2
	if a := h.Place(t.Context(), req, nil); a.Result != home.Placed || !a.Warm {
		t.Errorf("got %+v, want a warm placement", a)
	}
}

// A home that receives permits before its pool is set uses the pool's bound once that is set.
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
		req := home.PermitRequest{Shard: id, Request: place.Request{Edge: "router-b", Permit: permit + 1, Key: 7, Work: ident.OneRequest}}
		h.Place(t.Context(), req, nil)
	}
	highest := max(h.EngineRequests(pool, one.Hash), h.EngineRequests(pool, two.Hash))
	if diff := cmp.Diff(4, highest); diff != "" {
		t.Errorf("max requests of one chat on one engine: %s", diff)
	}
}

// Guards against a crash when the targets of a pool change. An edge router with a newer membership
// view, and so four shards, requests a permit of the fourth shard from a router whose pool has two.
// That router becomes home of a shard without engines, and the next change of the pool must not
// index its lists of engines by shard beyond their length.
func TestShardOutsidePool(t *testing.T) {
	h, _, _ := newHomes()
	outside := place.ShardID{Pool: pool, Shard: 3}
	req := home.PermitRequest{Shard: outside, Request: place.Request{Edge: "router-b", Permit: 1, Key: 7, Work: ident.OneRequest}}
	engine := place.Engine{ID: "engine-2", Hash: ident.Target("engine-2").Hash(), Incarnation: 1}
	for _, shards := range []int{2, 1, 4, 2} {
		if a := h.Place(t.Context(), req, nil); a.Result != home.Empty && a.Result != home.Placed {
			t.Errorf("before the change to %d shards: got %+v", shards, a)
		}
		h.SetPool(pool, place.DefaultBound, place.NewRoster(shards, []place.Engine{engine}))
	}
}
