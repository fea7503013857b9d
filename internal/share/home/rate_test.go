package home

import (
	"testing"
	"time"

	"valescale/internal/plat/ident"
)

// recordSteadyReleases records a constant amount of work in flight and a steady rate of releases,
// and returns the time afterwards.
func recordSteadyReleases(r *releaseRate, now time.Time, perSecond int, inFlight ident.Work) time.Time {
	r.record(now, 0, inFlight)
	const seconds = 4
	for range seconds * perSecond {
		now = now.Add(time.Second / time.Duration(perSecond))
		r.record(now, ident.OneRequest, inFlight)
	}
	return now
}

// withinTenth reports whether a duration is within a tenth of the expected one. The measured rate
// is slightly higher just after a release than just before one.
func withinTenth(got, want time.Duration) bool { return (got - want).Abs() <= want/10 }

// The rate of a shard that was nearly idle until now is not underestimated, because it is
// proportional to the work in flight.
func TestReleaseRateFollowsWorkInFlight(t *testing.T) {
	var r releaseRate
	now := recordSteadyReleases(&r, time.Unix(1000, 0), 10, 2*ident.OneRequest)
	r.record(now, 0, 20*ident.OneRequest)
	if got, known := r.queueDelay(9); !known || !withinTenth(got, 100*time.Millisecond) {
		t.Errorf("queue delay of 10 requests at 20 in flight and 5 releases per second each: %v, want 0.1 s", got)
	}
}
