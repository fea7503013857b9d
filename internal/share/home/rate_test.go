package home

import (
	"testing"
	"time"

	"valescale/internal/plat/ident"
)

// steadily notes that some requests are in flight and that work comes back evenly, so
// many requests a second, and returns the time afterwards.
func recordSteadyReleases(r *releaseRate, now time.Time, perSecond int, inFlight ident.Work) time.Time {
	r.record(now, 0, inFlight)
	const seconds = 4
	for range seconds * perSecond {
		now = now.Add(time.Second / time.Duration(perSecond))
		r.record(now, ident.OneRequest, inFlight)
	}
	return now
}

// near reports whether a time is within a tenth of what is wanted: what comes back at
// intervals counts a little more just after than just before.
func withinTenth(got, want time.Duration) bool { return (got - want).Abs() <= want/10 }

// A shard that was idle a moment ago is not taken for slow: its rate follows the work in
// flight, not the work that was asked of it.
func TestReleaseRateFollowsWorkInFlight(t *testing.T) {
	var r releaseRate
	now := recordSteadyReleases(&r, time.Unix(1000, 0), 10, 2*ident.OneRequest)
	r.record(now, 0, 20*ident.OneRequest)
	if got, known := r.queueDelay(9); !known || !withinTenth(got, 100*time.Millisecond) {
		t.Errorf("10 requests, 20 in flight, 5 a second each: %v, want 0.1 s", got)
	}
}
