package peer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/share/peer"
)

// Guards against callers that are sent on to routers which are as overloaded, or of which nothing is known: of a zone
// under pressure, of another region, silent for long, leaving, or of an older build.
func TestOthersHaveRoom(t *testing.T) {
	type report struct {
		zone     ident.Zone
		region   ident.Region
		state    peer.State
		pressure peer.Pressure
	}
	low, high := report{"a", "r", peer.Live, peer.PressureLow}, report{"a", "r", peer.Live, peer.PressureHigh}
	lowElsewhere, highElsewhere := report{"b", "r", peer.Live, peer.PressureLow}, report{"b", "r", peer.Live, peer.PressureHigh}
	for name, c := range map[string]struct {
		reports []report
		after   time.Duration
		want    bool
	}{
		"no other router":                  {nil, 0, false},
		"most of the zone have room":       {[]report{low, low, high}, 0, true},
		"half of the zone have room":       {[]report{low, high}, 0, false},
		"only other zones have room":       {[]report{high, lowElsewhere, lowElsewhere}, 0, false},
		"only this zone has room":          {[]report{low, highElsewhere, highElsewhere}, 0, true},
		"no other router in the zone":      {[]report{lowElsewhere}, 0, false},
		"all zones are under pressure":     {[]report{highElsewhere, highElsewhere}, 0, false},
		"another region":                   {[]report{{"c", "s", peer.Live, peer.PressureLow}}, 0, false},
		"reported long ago":                {[]report{low}, 3 * time.Second, false},
		"leaving":                          {[]report{{"a", "r", peer.Leaving, peer.PressureLow}}, 0, false},
		"a router that reports nothing":    {[]report{{"a", "r", peer.Live, peer.PressureUnknown}}, 0, false},
		"unknown ones of the zone, others": {[]report{{"a", "r", peer.Live, peer.PressureUnknown}, lowElsewhere}, 0, false},
	} {
		self := peer.Member{ID: "self", Zone: "a", Region: "r", Incarnation: 1}
		v := peer.NewView(start, self, peer.DefaultLimits)
		for i, r := range c.reports {
			id := ident.Router(string(rune('a' + i)))
			digest := peer.Digest{From: id, Pressure: r.pressure, Members: []peer.Member{{ID: id, Zone: r.zone, Region: r.region, State: r.state, Incarnation: 1, Seq: 1}}}
			v.Incoming(start, peer.Decode(start, peer.Encode(start, digest)))
		}
		if diff := cmp.Diff(c.want, v.OthersHaveRoom(start.Add(c.after))); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
