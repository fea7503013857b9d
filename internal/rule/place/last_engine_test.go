package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// placeWithLast places a request whose last engine the edge router has stored.
func placeWithLast(h *place.Home, key ident.ChatKey, last ident.TargetHash, avoid ...ident.TargetHash) place.Decision {
	permits++
	return h.Place(time.Unix(1000, 0), place.Request{
		Edge: "edge", Permit: permits, Key: key, Work: ident.OneRequest, Last: last, Avoid: avoid,
	})
}

// A home without a stored place uses the last engine of the edge router.
func TestNewHomeUsesLastEngineOfEdge(t *testing.T) {
	for i := range 8 {
		last := newEngine(i).Hash
		got := placeWithLast(newPreferredHome(8), 7, last)
		if got.Engine != last || !got.Warm {
			t.Errorf("last engine %d: got %+v", i, got)
		}
	}
}

// A place stored by the home takes precedence over the last engine of the edge router.
func TestHomePlacePrecedesLastEngineOfEdge(t *testing.T) {
	h := newPreferredHome(8)
	first := placeWithLast(h, 7, 0)
	other := newEngine(0).Hash
	if other == first.Engine {
		other = newEngine(1).Hash
	}
	if got := placeWithLast(h, 7, other); got.Engine != first.Engine {
		t.Errorf("got engine %d, want %d", got.Engine, first.Engine)
	}
}

// After a change of the number of shards a key's last engine may be in another shard. It is
// returned as the cache holder.
func TestHolderInAnotherShard(t *testing.T) {
	elsewhere := newEngine(100).Hash
	got := placeWithLast(newPreferredHome(8), 7, elsewhere)
	if diff := cmp.Diff(elsewhere, got.Holder); diff != "" || got.Warm {
		t.Errorf("holder: %s, warm %v", diff, got.Warm)
	}
}

// A key that is used once leaves no place.
func TestOnceKeysAreNotStored(t *testing.T) {
	h := newPreferredHome(8)
	permits++
	got := h.Place(time.Unix(1000, 0), place.Request{Edge: "edge", Permit: permits, Key: 7, Work: ident.OneRequest, Once: true})
	if got.Result != place.Placed || got.Holder != 0 {
		t.Errorf("got %+v, want placed without a holder", got)
	}
	if diff := cmp.Diff([]place.ChatPlace{}, h.Places(10)); diff != "" {
		t.Errorf("places: %s", diff)
	}
}

// newPreferredPool returns a router's view of a pool of eight engines.
func newPreferredPool(shards int) *place.Pool {
	p := place.NewPool("p", shards, preferredBound)
	var list []place.Engine
	for i := range 8 {
		list = append(list, newEngine(i))
	}
	p.SetEngines(list)
	return p
}

// A router without a home sends a key to its last engine, even after a change of the number of
// shards, if it has a share of that engine. Otherwise it copies the prefix from there.
func TestLocalUsesLastEngine(t *testing.T) {
	const key, routers = 7, 62
	kept := 0
	for i := range routers {
		edge := ident.Router(fmt.Sprintf("router-%d", i))
		before, last := newPreferredPool(1), newEngine(i%8).Hash
		before.SetLast(key, last)
		p := place.NewPool("p", 2, preferredBound)
		p.Inherit(before)
		p.SetEngines(before.Engines())
		request := place.Request{Edge: edge, Key: key, Work: ident.OneRequest, Last: p.Last(key)}
		got := p.Local(time.Time{}, request, routers)
		want := place.Decision{Result: place.Placed, Engine: got.Engine, Holder: last}
		if got.Engine == last {
			kept++
			want.Warm, want.Holder = true, 0
		}
		want.Basis = place.Basis{Rule: place.WithoutHome, Load: ident.OneRequest, Mean: ident.OneRequest / ident.Work(p.Usable())}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("last engine %d: %s", i%8, diff)
		}
		p.AddWork(last, ident.OneRequest)
		got = p.Local(time.Time{}, request, routers)
		if got.Engine == last || got.Holder != last {
			t.Errorf("with a request on engine %d: got %+v, want another engine that copies from it", i%8, got)
		}
	}
	// All routers together may place a few requests on an engine while they have no others.
	if kept < 1 || kept > routers/4 {
		t.Errorf("%d of %d routers stay with the last engine, want a few", kept, routers)
	}
}

func TestLastOfRemovedEngine(t *testing.T) {
	p := newPreferredPool(1)
	p.SetLast(7, newEngine(100).Hash)
	if diff := cmp.Diff(ident.TargetHash(0), p.Last(7)); diff != "" {
		t.Error(diff)
	}
}

// A restarted engine has no caches: it is no longer the last engine of a chat until the router
// sends the chat to the new incarnation.
func TestLastOfRestartedEngine(t *testing.T) {
	p := newPreferredPool(1)
	e := newEngine(3)
	p.SetLast(7, e.Hash)
	list := append([]place.Engine(nil), p.Engines()...)
	for i := range list {
		if list[i].Hash == e.Hash {
			list[i].Incarnation++
		}
	}
	p.SetEngines(list)
	if diff := cmp.Diff(ident.TargetHash(0), p.Last(7)); diff != "" {
		t.Errorf("last engine after a restart: %s", diff)
	}
	p.SetLast(7, e.Hash)
	if diff := cmp.Diff(e.Hash, p.Last(7)); diff != "" {
		t.Errorf("last engine after a request to the new incarnation: %s", diff)
	}
}
