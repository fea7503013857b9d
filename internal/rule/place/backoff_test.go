package place_test

import (
	"testing"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// told is one edge's word that an engine wants no requests.
type backoffReport struct {
	edge ident.Router
	zone ident.Zone
	left time.Duration
}

// What an engine tells one edge holds for that edge; what it tells two edges of a zone is believed in that
// zone, what it tells two zones everywhere, and for no longer than it said.
func TestBackoffsAreSharedAfterSeveralReports(t *testing.T) {
	const left = 3 * time.Second
	cases := map[string]struct {
		backoffReport []backoffReport
		zone          ident.Zone
		after         time.Duration
		blocked       bool
	}{
		"one edge":                    {[]backoffReport{{"a1", "a", left}}, "a", 0, false},
		"one edge twice":              {[]backoffReport{{"a1", "a", left}, {"a1", "a", left}}, "a", 0, false},
		"two edges of the zone":       {[]backoffReport{{"a1", "a", left}, {"a2", "a", left}}, "a", 0, true},
		"two edges of another zone":   {[]backoffReport{{"b1", "b", left}, {"b2", "b", left}}, "a", 0, false},
		"edges of two zones":          {[]backoffReport{{"b1", "b", left}, {"c1", "c", left}}, "a", 0, true},
		"two edges without a zone":    {[]backoffReport{{"x", "", left}, {"y", "", left}}, "", 0, true},
		"until it is over":            {[]backoffReport{{"a1", "a", left}, {"a2", "a", left}}, "a", left, false},
		"the second one after an end": {[]backoffReport{{"a1", "a", 0}, {"a2", "a", left}}, "a", 0, false},
		"no longer than bearable":     {[]backoffReport{{"a1", "a", time.Hour}, {"a2", "a", time.Hour}}, "a", 8 * time.Second, false},
	}
	for name, c := range cases {
		h, list := newHome(2)
		for _, one := range c.backoffReport {
			h.Backoffs(start, one.edge, one.zone, []place.Backoff{{Engine: list[0].Hash, Left: one.left}})
		}
		now := start.Add(c.after)
		if got := countPlaced(h, now, c.zone, list[0].Hash) == 0; got != c.blocked {
			t.Errorf("%s: kept from the engine %v, want %v", name, got, c.blocked)
		}
	}
}

// sentTo places requests of one zone's edge and counts those that an engine gets.
func countPlaced(h *place.Home, now time.Time, zone ident.Zone, engine ident.TargetHash) int {
	count := 0
	for n := uint64(1); n <= 12; n++ {
		request := permitRequest(1000+n, ident.ChatKey(n))
		request.Zone = zone
		if d := h.Place(now, request); d.Result == place.Placed && d.Engine == engine {
			count++
		}
	}
	return count
}

// An engine that has started anew has told nobody anything, and one that is all there is gets requests all the
// same: from those that it told nothing.
func TestBackoffsOfRestartedAndOnlyEngine(t *testing.T) {
	h, list := newHome(2)
	reportBackoffs := func() {
		for _, edge := range []ident.Router{"x", "y"} {
			h.Backoffs(start, edge, "", []place.Backoff{{Engine: list[0].Hash, Left: time.Minute}})
		}
	}
	reportBackoffs()
	list[0].Incarnation++
	h.SetEngines(list, []int{2})
	if countPlaced(h, start, "", list[0].Hash) == 0 {
		t.Error("the engine gets nothing after it has started anew")
	}
	h, list = newHome(1)
	reportBackoffs()
	if countPlaced(h, start, "", list[0].Hash) == 0 {
		t.Error("the only engine gets nothing although requests would wait in vain")
	}
}
