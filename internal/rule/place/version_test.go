package place_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// versionedEngines returns count engines of each version, named after it.
func versionedEngines(count int, versions ...ident.Version) []place.Engine {
	var out []place.Engine
	for _, version := range versions {
		for i := range count {
			name := ident.Target(fmt.Sprint(version, "-", i))
			out = append(out, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Slots: ident.OneRequest, Version: version})
		}
	}
	return out
}

// Guards against a free slot that a home offers to a request although the engine that ran its chat has another
// version, and to requests of other chats.
func TestWarmSlotOfTheVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// change changes the engine that ran the chat.
		change func(*place.Engine)
		// busy means that the engine runs another request, avoid that the request avoids the engine.
		busy, avoid bool
		version     ident.Version
		want        bool
	}{
		{name: "any version", want: true},
		{name: "the version", version: "v1", want: true},
		{name: "another version", version: "v2"},
		{name: "leaving", version: "v1", change: func(e *place.Engine) { e.Leaving = true }},
		{name: "restarted at the version", version: "v1", change: func(e *place.Engine) { e.Incarnation++ }},
		{name: "restarted at another version", version: "v1", change: func(e *place.Engine) { e.Incarnation, e.Version = e.Incarnation+1, "v2" }},
		{name: "avoided", version: "v1", avoid: true},
		{name: "no free slot", version: "v1", busy: true},
		{name: "no limit", version: "v1", busy: true, change: func(e *place.Engine) { e.Slots = 0 }, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := place.NewHome(id, "router-a", place.DefaultBound, 0)
			list := versionedEngines(1, "v1")
			h.SetEngines(list, []int{1})
			if d := h.Place(start, permitRequest(1, 7)); d.Result != place.Placed {
				t.Fatalf("result %d, want a permit", d.Result)
			}
			if !c.busy {
				h.Release("router-b", 1)
			}
			if c.change != nil {
				c.change(&list[0])
			}
			h.SetEngines(list, []int{1})
			request := permitRequest(2, 7)
			request.Version = c.version
			if c.avoid {
				request.Avoid = []ident.TargetHash{list[0].Hash}
			}
			if diff := cmp.Diff(c.want, h.HasWarmSlot(request)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a home that places a request at an engine of another version, also when the engine ran its chat
// or the request has waited in vain.
func TestHomePlacesAtTheVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*place.Request)
	}{
		{"no place", func(*place.Request) {}},
		{"last engine", func(r *place.Request) { r.Last = ident.Target("v1-0").Hash() }},
		{"last shard", func(r *place.Request) { r.MustPlace = true }},
		{"waited in vain", func(r *place.Request) { r.MustPlace, r.Over = true, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := place.NewHome(id, "router-a", place.DefaultBound, 0)
			h.SetEngines(versionedEngines(2, "v1", "v2"), []int{4})
			placed := 0
			for permit := range uint64(6) {
				request := permitRequest(permit+1, 7)
				request.Version = "v2"
				c.change(&request)
				d := h.Place(start, request)
				if d.Result != place.Placed {
					continue
				}
				placed++
				if d.Engine != ident.Target("v2-0").Hash() && d.Engine != ident.Target("v2-1").Hash() {
					t.Errorf("request %d was placed at another version", permit+1)
				}
			}
			if placed < 2 {
				t.Errorf("%d requests placed, want one at each engine of the version at least", placed)
			}
			request := permitRequest(100, 7)
			request.Version = "v3"
			c.change(&request)
			if d := h.Place(start, request); d.Result == place.Placed {
				t.Error("a request was placed although no engine has its version")
			}
		})
	}
}

// Guards against a router without a home that places a request at an engine of another version, that is leaving,
// avoided or full.
func TestLocalPlacesAtTheVersion(t *testing.T) {
	for _, c := range []struct {
		name    string
		version ident.Version
		leaving ident.Target
		avoid   ident.Target
		want    []int
	}{
		{"any version", "", "", "", []int{1, 1, 1, 1}},
		{"first version", "v1", "", "", []int{1, 1, 0, 0}},
		{"second version", "v2", "", "", []int{0, 0, 1, 1}},
		{"one leaving", "v2", "v2-0", "", []int{0, 0, 0, 1}},
		{"one avoided", "v2", "", "v2-1", []int{0, 0, 1, 0}},
		{"no engine", "v3", "", "", []int{0, 0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := versionedEngines(2, "v1", "v2")
			for i := range list {
				list[i].Leaving = list[i].ID == c.leaving
			}
			p := place.NewPool("judge@co", 1, place.DefaultBound)
			p.SetEngines(list)
			counts := map[ident.TargetHash]int{}
			for key := range ident.ChatKey(8) {
				request := place.Request{Key: key, Work: ident.OneRequest, Version: c.version, Avoid: []ident.TargetHash{c.avoid.Hash()}}
				d := p.Local(start, request, 1)
				if d.Result != place.Placed {
					continue
				}
				counts[d.Engine]++
				p.AddWork(d.Engine, ident.OneRequest)
			}
			var got []int
			for _, e := range list {
				got = append(got, counts[e.Hash])
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against targets that count for a version although they are leaving or have another one.
func TestUsableEnginesOfTheVersion(t *testing.T) {
	for _, shards := range []int{1, 4} {
		p := place.NewPool("judge@co", shards, place.DefaultBound)
		list := versionedEngines(5, "v1", "v2", "v3")
		for i := range list {
			// All of v3, and one of v2.
			list[i].Leaving = list[i].Version == "v3" || list[i].ID == "v2-3"
		}
		p.SetEngines(list)
		got := map[ident.Version]int{}
		for _, version := range []ident.Version{"", "v1", "v2", "v3", "v4"} {
			got[version] = p.UsableOf(version)
		}
		if diff := cmp.Diff(map[ident.Version]int{"": 9, "v1": 5, "v2": 4, "v3": 0, "v4": 0}, got); diff != "" {
			t.Errorf("%d shards: %s", shards, diff)
		}
	}
}

// Guards against permit requests to homes of shards without an engine of the version, which may be all that a
// search tries.
func TestSearchTriesShardsOfTheVersion(t *testing.T) {
	const shards = 16
	list := versionedEngines(40, "v1")
	rare := versionedEngines(3, "v2", "v3")
	has := map[ident.Shard]bool{}
	for i := range rare {
		rare[i].Leaving = rare[i].Version == "v3"
		if !rare[i].Leaving {
			has[place.ShardOf(rare[i].Hash, shards)] = true
		}
	}
	p := place.NewPool("judge@co", shards, place.DefaultBound)
	p.SetEngines(append(list, rare...))
	for _, saturated := range []bool{false, true} {
		for key := range ident.ChatKey(20) {
			s := p.NewSearch(key, "v2", saturated)
			tried := map[ident.Shard]bool{}
			for {
				step, found := s.Next(start, p)
				if !found {
					t.Fatalf("chat %d: no shard is tried", key)
				}
				tried[step.Shard] = true
				if step.MustPlace {
					break
				}
			}
			for shard := range tried {
				if !has[shard] {
					t.Errorf("chat %d: shard %d is tried, which does not have the version", key, shard)
				}
			}
			if want := len(has); !saturated && len(tried) != want {
				t.Errorf("chat %d: %d shards tried, want %d", key, len(tried), want)
			}
			none := p.NewSearch(key, "v3", saturated)
			if step, found := none.Next(start, p); found {
				t.Errorf("chat %d: shard %d is tried for a version whose engines are leaving", key, step.Shard)
			}
		}
	}
}
