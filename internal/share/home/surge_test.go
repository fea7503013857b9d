package home_test

import (
	"context"
	"testing"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
)

// hundredsOfRouters is a fleet of small boxes over engines of 16 slots: 295 routers, each of which
// sees a few requests a second, and 153 engines in 8 shards, of which hashing makes some half as
// large as others.
var surgeFleet = fleetSize{routers: 295, engines: 153, shards: 8, slots: 16}

const (
	// surgeLasts is how long a request holds its slot: a chat's answer of 290 tokens in a batch
	// that is full.
	surgeHoldTime = 800 * time.Millisecond
	// surgeSubjects is how many subjects there are, some 18 for each engine.
	surgePrefixes = 2700
)

// answered counts what became of requests.
type requestCounts struct{ sent, rejected int }

// share is the part of the requests that was refused.
func (a requestCounts) rejectedRatio() float64 { return float64(a.rejected) / float64(max(a.sent, 1)) }

// offer has all routers together send requests for a part of all slots, evenly over many
// subjects, as long as the test says; what becomes of them is added to counts.
func (f *fleet) sendAtRatio(ratio float64, on func() bool, counts *requestCounts) {
	perSecond := ratio * float64(f.engines*f.slots) / surgeHoldTime.Seconds()
	every := time.Duration(float64(f.routers) / perSecond * float64(time.Second))
	for _, b := range f.members {
		f.every(every, func() {
			if !on() {
				return
			}
			req := route.Ask{Service: "judge", Key: ident.ChatKey(1 + f.rng.IntN(surgePrefixes)), Work: ident.OneRequest, Deadline: f.now}
			counts.sent++
			p, err := b.router.Acquire(context.Background(), req)
			if err != nil {
				counts.rejected++
				return
			}
			f.after(surgeHoldTime/2+time.Duration(f.rng.Int64N(int64(surgeHoldTime))), p.Release)
		})
	}
}

// asks is how many times all routers have asked a home.
func (f *fleet) permitRequests() (sent, placed uint64) {
	for _, b := range f.members {
		s := b.router.Stats()
		sent += s.Asked
		placed += s.Placed
	}
	return sent, placed
}

// Pattern: many small routers, a surge of three times what the engines can run, and then as much
// as before. Engines give room back faster than it is asked for from then on, so nothing need
// be refused. Each router sees some nine requests a second: it learnt too slowly that homes refuse no
// more, and went on refusing 29 in 100 requests of the first half second and 10 of the next.
func TestFreeSlotsAfterSurgeAreUsed(t *testing.T) {
	const (
		usualRatio, surgeRatio = 0.85, 3 * 0.85
		surgeDuration          = 3 * time.Second
		// most is the part of the requests in the second after the surge that may be refused.
		// The slots are still full as it begins: with homes asked for everything it is 0.024.
		maxRatio = 0.035
	)
	for seed := range uint64(3) {
		f := newFleet(seed, surgeFleet)
		var counts requestCounts
		f.sendAtRatio(usualRatio, func() bool { return true }, &counts)
		f.runFor(2 * time.Second)
		if got := counts.rejectedRatio(); got > 0 {
			t.Errorf("seed %d: %.3f of the requests are refused before the surge", seed, got)
		}
		until := f.now.Add(surgeDuration)
		f.sendAtRatio(surgeRatio, func() bool { return f.now.Before(until) }, &counts)
		f.runFor(surgeDuration)
		counts = requestCounts{}
		f.runFor(time.Second)
		if got := counts.rejectedRatio(); got > maxRatio {
			t.Errorf("seed %d: %.3f of the requests are refused in the second after the surge, want %.3f at most", seed, got, maxRatio)
		}
	}
}

// Pattern: the same surge for as long as it lasts. Homes must not be asked for everything: a
// home of 20 engines on a box of 0.4 cores then answers late.
func TestSurgeLimitsPermitRequests(t *testing.T) {
	const (
		ratio = 3.0
		// most is how often homes are asked for each request that they can place; without any
		// throttling it is 8.6.
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
	t.Logf("%.2f questions for each placement", got)
	if got > maxRatio {
		t.Errorf("homes are asked %.1f times for each request that they place, want %d at most", got, maxRatio)
	}
}
