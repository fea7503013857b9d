package home

import (
	"math"
	"time"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
)

// releaseRate follows how fast a shard's permits come back, to tell how long a queue takes
// and callers when to come back themselves. It measures per unit of work in flight: a
// shard that has just become full gives room back faster than it did while it was idle.
type releaseRate struct {
	// released is the work that came back, flown the work in flight times seconds; both
	// count half after rateHalfLife.
	releasedWork float64
	workSeconds  float64
	// inFlight is the work in flight since at.
	inFlight ident.Work
	at       time.Time
	// last is when work came back last.
	lastRelease time.Time
}

const (
	// rateHalfLife is after how long what was measured counts half: long enough for some
	// ten requests at a small service, short enough to follow engines that slow down.
	rateHalfLife = 500 * time.Millisecond
)

// note counts work that came back and what is in flight from now on.
func (r *releaseRate) record(now time.Time, releasedWork, inFlight ident.Work) {
	if elapsed := now.Sub(r.at); elapsed > 0 && !r.at.IsZero() {
		kept := decay.Kept(elapsed, rateHalfLife)
		r.releasedWork *= kept
		// The work in flight since the last note decays as it is added.
		halfLife := rateHalfLife.Seconds() / math.Ln2
		r.workSeconds = r.workSeconds*kept + float64(r.inFlight)*halfLife*(1-kept)
	}
	if releasedWork > 0 {
		r.lastRelease = now
	}
	r.releasedWork += float64(releasedWork)
	r.inFlight = inFlight
	r.at = now
}

// perSecond is the number of requests a second whose work comes back at the present work
// in flight, zero while that is unknown.
func (r *releaseRate) requestsPerSecond() float64 {
	if r.workSeconds <= 0 {
		return 0
	}
	return r.releasedWork / r.workSeconds * float64(r.inFlight) / float64(ident.OneRequest)
}

// wait is how long a newcomer waits behind some others, if that is known.
func (r *releaseRate) queueDelay(ahead int) (queueDelay time.Duration, known bool) {
	requestsPerSecond := r.requestsPerSecond()
	if requestsPerSecond <= 0 {
		return 0, false
	}
	seconds := min(float64(ahead+1)/requestsPerSecond, quota.MaxReturn.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// stoodStill reports whether nothing has come back since a time.
func (r *releaseRate) noReleaseSince(since time.Time) bool { return !r.lastRelease.After(since) }
