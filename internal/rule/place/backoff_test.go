package place_test

import (
	"testing"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// backoffReport is a backoff that one edge router received from an engine.
type backoffReport struct {
	edge ident.Router
	zone ident.Zone
	left time.Duration
}

// A backoff applies to the edge router that received it, to a zone after reports from two of its
// edge routers, to all zones after reports from two zones, and never for longer than requested.
func TestBackoffsAreSharedAfterSeveralReports(t *testing.T) {
	const left = 3 * time.Second
	cases := map[string]struct {
		backoffReport []backoffReport
		zone          ident.Zone
		after         time.Duration
		blocked       bool
	}{
		"one edge router":                  {[]backoffReport{{"a1", "a", left}}, "a", 0, false},
		"one edge router twice":            {[]backoffReport{{"a1", "a", left}, {"a1", "a", left}}, "a", 0, false},
		"two edge routers of the zone":     {[]backoffReport{{"a1", "a", left}, {"a2", "a", left}}, "a", 0, true},
		"two edge routers of another zone": {[]backoffReport{{"b1", "b", left}, {"b2", "b", left}}, "a", 0, false},
		"edge routers of two zones":        {[]backoffReport{{"b1", "b", left}, {"c1", "c", left}}, "a", 0, true},
		"two edge routers without a zone":  {[]backoffReport{{"x", "", left}, {"y", "", left}}, "", 0, true},
		"after the backoff":                {[]backoffReport{{"a1", "a", left}, {"a2", "a", left}}, "a", left, false},
		"second report after expiry":       {[]backoffReport{{"a1", "a", 0}, {"a2", "a", left}}, "a", 0, false},
		"limited to 8 s":                   {[]backoffReport{{"a1", "a", time.Hour}, {"a2", "a", time.Hour}}, "a", 8 * time.Second, false},
	}
	for name, c := range cases {
		h, list := newHome(2)
		for _, one := range c.backoffReport {
			h.Backoffs(start, one.edge, one.zone, []place.Backoff{{Engine: list[0].Hash, Left: one.left}})
		}
		now := start.Add(c.after)
		if got := countPlaced(h, now, c.zone, list[0].Hash) == 0; got != c.blocked {
			t.Errorf("%s: got blocked %v, want %v", name, got, c.blocked)
		}
	}
}

// countPlaced places requests of one zone's edge router and counts those on an engine.
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

// A restarted engine has no backoff, and the only engine of a shard receives requests from edge
// routers that received no backoff themselves.
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
		t.Error("restarted engine received no requests")
	}
	h, list = newHome(1)
	reportBackoffs()
	if countPlaced(h, start, "", list[0].Hash) == 0 {
		t.Error("the only engine received no requests")
	}
}
