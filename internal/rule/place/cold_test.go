package place_test

import (
	"fmt"
	"testing"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

const (
	// coldRate is the rate of a cold engine in requests per second. maxColdRate is the number of
	// requests in any second above which it crashes.
	coldRate    = 13
	maxColdRate = 1.5*coldRate + 5
)

// maxPerSecond returns the highest number of times that lie within the same second.
func maxPerSecond(times []time.Time) int {
	highest := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < time.Second {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// A cold engine receives no more than its rate, even if all others are full and requests must be
// placed. A warm one receives its full share.
func TestColdEngineStaysWithinRate(t *testing.T) {
	now := time.Unix(1000, 0)
	const coldFor = 3 * time.Second
	cold := place.Engine{
		ID: "cold", Hash: ident.Target("cold").Hash(), Slots: 12 * ident.OneRequest,
		Cold: place.Cold{Until: now.Add(coldFor), Rate: coldRate},
	}
	warm := place.Engine{ID: "warm", Hash: ident.Target("warm").Hash(), Slots: 12 * ident.OneRequest}
	h := place.NewHome(place.ShardID{Pool: "p"}, "self", place.BoundOf(2), 1)
	h.SetEngines([]place.Engine{cold, warm}, []int{2})
	var sent []time.Time
	permit := uint64(0)
	send := func(duration time.Duration) {
		for range int(duration / (5 * time.Millisecond)) {
			now = now.Add(5 * time.Millisecond)
			permit++
			d := h.Place(now, place.Request{Edge: "e", Permit: permit, Key: ident.ChatKey(permit), Work: ident.OneRequest, MustPlace: true})
			if d.Engine == cold.Hash {
				sent = append(sent, now)
			}
			// Each request takes 60 ms.
			if permit > 12 {
				h.Release("e", permit-12)
			}
		}
	}
	send(coldFor)
	if got := maxPerSecond(sent); float64(got) > maxColdRate || got < coldRate/2 {
		t.Errorf("the cold engine received %d requests in a second, want about %d", got, coldRate)
	}
	sent = nil
	send(time.Second)
	if got := maxPerSecond(sent); float64(got) < 3*coldRate {
		t.Errorf("the warm engine received %d of 200 requests per second", got)
	}
}

// A cold engine with a low rate receives requests at that rate.
func TestColdEngineReachesRate(t *testing.T) {
	const rate, duration = 2, 10 * time.Second
	now := time.Unix(1000, 0)
	h := place.NewHome(place.ShardID{Pool: "p"}, "self", place.BoundOf(2), 1)
	h.SetEngines([]place.Engine{{ID: "cold", Hash: 1, Cold: place.Cold{Until: now.Add(time.Minute), Rate: rate}}}, []int{1})
	sent := 0
	for i := range uint64(duration / (10 * time.Millisecond)) {
		now = now.Add(10 * time.Millisecond)
		if h.Place(now, place.Request{Edge: "e", Permit: i, Work: ident.OneRequest, MustPlace: true}).Result == place.Placed {
			sent++
			h.Release("e", i)
		}
	}
	want := int(rate * duration.Seconds())
	if sent < want*9/10 || sent > want+1 {
		t.Errorf("the engine received %d requests in %v, want %d", sent, duration, want)
	}
}

// Guards against overloading a cold engine when 295 routers reach no home. Each of them may send
// it only a fraction of a request per second. If each rounded that up, all would send one at once.
func TestLocalPlacementLimitsColdEngine(t *testing.T) {
	const routers = 295
	start := time.Unix(1000, 0)
	engines := []place.Engine{
		{ID: "cold", Hash: ident.Target("cold").Hash(), Cold: place.Cold{Until: start.Add(time.Minute), Rate: coldRate}},
		{ID: "warm", Hash: ident.Target("warm").Hash()},
	}
	var sent []time.Time
	for r := range routers {
		p := place.NewPool("p", 1, place.BoundOf(2))
		p.SetEngines(engines)
		edge := ident.Router(fmt.Sprintf("router-%d", r))
		for i := range 40 {
			now := start.Add(time.Duration(i)*100*time.Millisecond + time.Duration(r)*300*time.Microsecond)
			d := p.Local(now, place.Request{Edge: edge, Key: ident.ChatKey(i), Work: ident.OneRequest}, routers)
			if d.Engine == engines[0].Hash {
				sent = append(sent, now)
			}
		}
	}
	if got := maxPerSecond(sent); float64(got) > maxColdRate || got == 0 {
		t.Errorf("the cold engine received %d requests in a second, want some and %v at most", got, maxColdRate)
	}
}

// The pacing of a cold engine restarts with a new incarnation of the engine.
func TestRestartResetsColdPacing(t *testing.T) {
	now := time.Unix(1000, 0)
	e := place.Engine{
		ID: "cold", Hash: ident.Target("cold").Hash(), Slots: 12 * ident.OneRequest, Incarnation: 1,
		Cold: place.Cold{Until: now.Add(time.Minute), Rate: 1},
	}
	h := place.NewHome(place.ShardID{Pool: "p"}, "router", preferredBound, 0)
	h.SetEngines([]place.Engine{e}, []int{1})
	request := func(permit uint64) place.Result {
		return h.Place(now, place.Request{Edge: "edge", Permit: permit, Key: 7, Work: ident.OneRequest, MustPlace: true}).Result
	}
	first, second := request(1), request(2)
	e.Incarnation++
	h.SetEngines([]place.Engine{e}, []int{1})
	third := request(3)
	if first != place.Placed || second == place.Placed || third != place.Placed {
		t.Errorf("got %v, %v, and %v after the restart", first, second, third)
	}
}
