package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
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

// A router without a home avoids slow engines only as long as others have room within its share of the
// bound: with a third of the engines slow, routers without homes would otherwise exceed it together.
func TestLocalKeepsBoundBesideSlowEngines(t *testing.T) {
	p := place.NewPool("judge@co", 1, place.DefaultBound)
	list := engines(6)
	p.SetEngines(list)
	for i, e := range list {
		reported := pace.Usual
		if i%3 == 0 {
			reported = 3
		}
		p.RecordPace(start, pace.Report{Target: e.Hash, Reported: reported, Age: pace.PresentTTL})
	}
	counts := map[ident.TargetHash]int{}
	for n := range 60 {
		d := p.Local(start, place.Request{Key: ident.ChatKey(n % 3), Work: ident.OneRequest}, 1)
		p.AddWork(d.Engine, ident.OneRequest)
		counts[d.Engine]++
	}
	for e, n := range counts {
		if n > 14 {
			t.Errorf("engine %d has %d of 60 requests, want 14 at most", e, n)
		}
	}
	if got := counts[list[0].Hash] + counts[list[3].Hash]; got >= 20 {
		t.Errorf("two slow engines of six have %d of 60 requests", got)
	}
}
