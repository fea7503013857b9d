package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

func TestLocalKeepsBound(t *testing.T) {
	p := place.NewPool("judge@co", 2, place.DefaultBound)
	p.SetEngines(engines(4))
	counts := map[ident.TargetHash]int{}
	for n := range 40 {
		d := p.Local(time.Time{}, place.Request{Key: ident.ChatKey(n % 3), Work: ident.OneRequest}, 1)
		p.AddWork(d.Engine, ident.OneRequest)
		counts[d.Engine]++
	}
	for e, n := range counts {
		if n > 14 {
			t.Errorf("engine %d has %d of 40 requests, want 14 at most", e, n)
		}
	}
	if diff := cmp.Diff(place.Empty, place.NewPool("x", 1, place.DefaultBound).Local(time.Time{}, place.Request{}, 1).Result); diff != "" {
		t.Error(diff)
	}
}
