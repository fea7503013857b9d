package place_test

import (
	"testing"

	"pgregory.net/rapid"

	"valescale/internal/fake/sched"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// TestCountsAndBound applies random permit requests, releases, lists, and repeated and lost
// messages to one home. It must count exactly the permits held, and no engine may exceed the bound
// by more than one request.
func TestCountsAndBound(t *testing.T) {
	sched.Walk(t, func(r *rapid.T) {
		h, list := newHome(rapid.IntRange(1, 8).Draw(r, "engines"))
		out := map[uint64]ident.TargetHash{}
		next := uint64(0)
		for range rapid.IntRange(1, 120).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "action") {
			case 0, 1, 2:
				next++
				d := h.Place(start, permitRequest(next, ident.ChatKey(rapid.Uint64Range(0, 20).Draw(r, "key"))))
				if d.Result != place.Placed {
					r.Fatalf("got %v in a pool without slot limits, want placed", d.Result)
				}
				out[next] = d.Engine
				if e := excess(h, list, d.Engine); e > 1 {
					r.Fatalf("%.2f requests above the bound", e)
				}
				if again := h.Place(start, permitRequest(next, 0)); again.Engine != d.Engine {
					r.Fatal("repeated permit request returned another engine")
				}
			case 3, 4:
				gone := rapid.Uint64Range(0, next).Draw(r, "returned")
				delete(out, gone)
				h.Release("router-b", gone)
				h.Release("router-b", gone)
			case 5:
				var held []place.Permit
				for n, e := range out {
					held = append(held, place.Permit{Edge: "router-b", ID: n, Engine: e, Work: ident.OneRequest})
				}
				h.Sync("router-b", held, next, "")
			}
			if h.Held("router-b") != len(out) || h.Work() != ident.Work(len(out))*ident.OneRequest {
				r.Fatalf("counted %d permits and work %d, want %d permits", h.Held("router-b"), h.Work(), len(out))
			}
		}
	})
}

func TestChatReturnsToItsEngine(t *testing.T) {
	h, _ := newHome(5)
	first := h.Place(start, permitRequest(1, 7))
	h.Release("router-b", 1)
	for n := uint64(2); n < 6; n++ {
		h.Place(start, permitRequest(n, ident.ChatKey(n)))
	}
	if again := h.Place(start, permitRequest(9, 7)); !again.Warm || again.Engine != first.Engine {
		t.Errorf("got %+v, want warm engine %d", again, first.Engine)
	}
}

func TestRestartedEngineIsCold(t *testing.T) {
	h, list := newHome(1)
	h.Place(start, permitRequest(1, 7))
	h.Release("router-b", 1)
	list[0].Incarnation = 2
	h.SetEngines(list, []int{1})
	if d := h.Place(start, permitRequest(2, 7)); d.Warm {
		t.Error("restarted engine is warm for the chat")
	}
	list[0].Incarnation = 1
	h.SetEngines(list, []int{1})
	h.Release("router-b", 2)
	if d := h.Place(start, permitRequest(3, 7)); !d.Warm {
		t.Error("stale engine list replaced a later incarnation")
	}
}

func TestEvictedChatUsesPreviousEngine(t *testing.T) {
	h, list := newHome(2)
	first := h.Place(start, permitRequest(1, 7))
	other := list[0].Hash
	if other == first.Engine {
		other = list[1].Hash
	}
	h.Place(start, place.Request{Edge: "router-b", Permit: 2, Key: 7, Work: ident.OneRequest, Avoid: []ident.TargetHash{first.Engine}})
	h.Release("router-b", 1)
	h.Release("router-b", 2)
	h.RecordEvictions(other, 7)
	if d := h.Place(start, permitRequest(3, 7)); !d.Warm || d.Engine != first.Engine {
		t.Errorf("got %+v, want the previous engine", d)
	}
}

func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	h, list := newHome(2)
	list[0].Leaving = true
	h.SetEngines(list, []int{1})
	for n := uint64(1); n < 10; n++ {
		if d := h.Place(start, permitRequest(n, ident.ChatKey(n))); d.Engine != list[1].Hash {
			t.Fatalf("got %+v, want the engine that is not leaving", d)
		}
	}
}

func TestSlowStart(t *testing.T) {
	h, list := newHome(2)
	for n := uint64(1); n <= 40; n++ {
		h.Place(start, permitRequest(n, ident.ChatKey(n)))
	}
	fresh := engines(3)[2]
	fresh.Joined = start
	h.SetEngines(append(list, fresh), []int{3})
	half := start.Add(place.DefaultBound.Ramp / 2)
	for n := uint64(100); n < 200; n++ {
		if d := h.Place(half, permitRequest(n, ident.ChatKey(n))); d.Engine != fresh.Hash {
			break
		}
	}
	got := float64(h.LoadOf(fresh.Hash)) / float64(h.Work()) * 3
	if got < 0.4 || got > 0.8 {
		t.Errorf("halfway through its slow start an engine had %.2f of the mean", got)
	}
}

func TestBusyAndFull(t *testing.T) {
	h, list := newHome(2)
	for i := range list {
		list[i].Slots = 2 * ident.OneRequest
	}
	h.SetEngines(list, []int{2})
	for n := uint64(1); n <= 4; n++ {
		h.Place(start, permitRequest(n, ident.ChatKey(n)))
	}
	if d := h.Place(start, permitRequest(5, 5)); d.Result != place.Busy {
		t.Errorf("got %v without a free slot, want busy", d.Result)
	}
	// The other shard has no work, so this one is far above the mean, which is no reason to wait.
	overloaded, overloadedList := newHome(2)
	overloaded.SetEngines(overloadedList, []int{2, 18})
	overloaded.Place(start, permitRequest(1, 1))
	overloaded.Place(start, permitRequest(2, 2))
	if d := overloaded.Place(start, permitRequest(3, 3)); d.Result != place.Full {
		t.Errorf("got %v, want full", d.Result)
	}
	mustPlace := permitRequest(3, 3)
	mustPlace.MustPlace = true
	if d := overloaded.Place(start, mustPlace); d.Result != place.Placed {
		t.Errorf("got %v for a request that must be placed, want placed", d.Result)
	}
}
