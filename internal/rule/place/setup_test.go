package place_test

import (
	"fmt"
	"testing"
	"time"

	"valescale/internal/fake/sched"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

func TestMain(m *testing.M) { sched.Main(m) }

var (
	start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	id    = place.ShardID{Pool: "judge@co", Shard: 0}
)

// engines returns n equal engines.
func engines(n int) []place.Engine {
	var out []place.Engine
	for i := range n {
		name := ident.Target(fmt.Sprintf("engine-%d", i))
		out = append(out, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1})
	}
	return out
}

// newHome returns a home with n engines, and the engines.
func newHome(n int) (*place.Home, []place.Engine) {
	h := place.NewHome(id, "router-a", place.DefaultBound, 0)
	list := engines(n)
	h.SetEngines(list, []int{n})
	return h, list
}

// permitRequest returns an edge router's permit request.
func permitRequest(permit uint64, key ident.ChatKey) place.Request {
	return place.Request{Edge: "router-b", Permit: permit, Key: key, Work: ident.OneRequest}
}

// excess returns by how many requests an engine exceeds the bound.
func excess(h *place.Home, list []place.Engine, at ident.TargetHash) float64 {
	total := ident.Work(0)
	for _, e := range list {
		total += h.LoadOf(e.Hash)
	}
	mean := float64(total) / float64(len(list))
	return (float64(h.LoadOf(at)) - place.DefaultBound.Factor*mean) / float64(ident.OneRequest)
}
