package home_test

import (
	"context"
	"testing"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
)

// surgeFleet is a fleet of 295 small routers, each of which receives a few requests per second, and
// 153 engines of 16 slots in 8 shards. Hashing makes some shards half as large as others.
var surgeFleet = fleetSize{routers: 295, engines: 153, shards: 8, slots: 16}

const (
	// surgeHoldTime is how long a request holds its slot: a chat answer of 290 tokens in a full
	// batch.
	surgeHoldTime = 800 * time.Millisecond
	// surgePrefixes is the number of prompt prefixes, about 18 per engine.
	surgePrefixes = 2700
)

// requestCounts counts requests and those that were rejected.
type requestCounts struct{ sent, rejected int }

// rejectedRatio returns the ratio of rejected requests.
func (a requestCounts) rejectedRatio() float64 { return float64(a.rejected) / float64(max(a.sent, 1)) }

// sendAtRatio makes all routers together send requests at a ratio to the capacity of all slots,
// evenly over many prompt prefixes, while on returns true. The results are added to counts.
func (f *fleet) sendAtRatio(ratio float64, on func() bool, counts *requestCounts) {
	perSecond := ratio * float64(f.engines*f.slots) / surgeHoldTime.Seconds()
	every := time.Duration(float64(f.routers) / perSecond * float64(time.Second))
	for _, m := range f.members {
		f.every(every, func() {
			if !on() {
				return
			}
			req := route.TargetRequest{Service: "judge", Key: ident.ChatKey(1 + f.rng.IntN(surgePrefixes)), Work: ident.OneRequest, Deadline: f.now}
			counts.sent++
			p, err := m.router.Acquire(context.Background(), req)
			if err != nil {
				counts.rejected++
				return
			}
			f.after(surgeHoldTime/2+time.Duration(f.rng.Int64N(int64(surgeHoldTime))), p.Release)
		})
	}
}

// permitRequests returns the number of permit requests of all routers and the number of permits
// granted.
func (f *fleet) permitRequests() (sent, placed uint64) {
	for _, m := range f.members {
		s := m.router.Stats()
		sent += s.PermitRequests
		placed += s.Placed
	}
	return sent, placed
}

// After a surge of three times the usual traffic, engines release slots faster than new requests
// arrive, so almost nothing has to be rejected. The test guards against routers that throttle
// permit requests for too long after the surge: each sees only about nine requests per second, and
// one that adapts too slowly rejects 29 in 100 requests of the first half second and 10 in 100 of
// the next.
func TestFreeSlotsAfterSurgeAreUsed(t *testing.T) {
	const (
		usualRatio, surgeRatio = 0.85, 3 * 0.85
		surgeDuration          = 3 * time.Second
		// maxRatio is the maximum ratio of rejected requests in the second after the surge. The
		// slots are still full when that second starts: the ratio is 0.024 without any throttling
		// of permit requests.
		maxRatio = 0.035
	)
	for seed := range uint64(3) {
		f := newFleet(seed, surgeFleet)
		var counts requestCounts
		f.sendAtRatio(usualRatio, func() bool { return true }, &counts)
		f.runFor(2 * time.Second)
		if got := counts.rejectedRatio(); got > 0 {
			t.Errorf("seed %d: %.3f of the requests rejected before the surge", seed, got)
		}
		until := f.now.Add(surgeDuration)
		f.sendAtRatio(surgeRatio, func() bool { return f.now.Before(until) }, &counts)
		f.runFor(surgeDuration)
		counts = requestCounts{}
		f.runFor(time.Second)
		if got := counts.rejectedRatio(); got > maxRatio {
			t.Errorf("seed %d: %.3f of the requests rejected in the second after the surge, want at most %.3f", seed, got, maxRatio)
		}
	}
}

// During a surge, routers must throttle their permit requests, because the home of 20 engines on a
// box of 0.4 cores responds late otherwise.
func TestSurgeLimitsPermitRequests(t *testing.T) {
	const (
		ratio = 3.0
		// maxRatio is the maximum number of permit requests per granted permit. Without throttling
		// the number is 8.6.
		maxRatio = 5
	)
	f := newFleet(1, surgeFleet)
	var counts requestCounts
	f.sendAtRatio(ratio, func() bool { return true }, &counts)
	f.runFor(2 * time.Second)
	sent, placed := f.permitRequests()
	f.runFor(3 * time.Second)
	sentNow, placedNow := f.permitRequests()
	got := float64(sentNow-sent) / float64(placedNow-placed)
	t.Logf("%.2f permit requests per granted permit", got)
	if got > maxRatio {
		t.Errorf("%.1f permit requests per granted permit, want at most %d", got, maxRatio)
	}
}
