package home

import (
	"math"
	"time"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
)

// releaseRate measures how fast the permits of a shard are released, to estimate the time in the
// queue and the Retry-After delays. The rate is measured per unit of work in flight, because a
// shard that has just become full releases work faster than it did while it was idle.
type releaseRate struct {
	// releasedWork is the released work, workSeconds the work in flight integrated over seconds.
	// Both decay with rateHalfLife.
	releasedWork float64
	workSeconds  float64
	// inFlight is the work in flight since at.
	inFlight ident.Work
	at       time.Time
	// lastRelease is the time of the last release.
	lastRelease time.Time
}

const (
	// rateHalfLife is long enough for about ten requests of a small service, and short enough to
	// follow engines that become slower.
	rateHalfLife = 500 * time.Millisecond
)

// record records released work and the work that is in flight from now on.
func (r *releaseRate) record(now time.Time, releasedWork, inFlight ident.Work) {
	if elapsed := now.Sub(r.at); elapsed > 0 && !r.at.IsZero() {
		kept := decay.Factor(elapsed, rateHalfLife)
		r.releasedWork *= kept
		// The work in flight since the last call decays while it is integrated.
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

// requestsPerSecond returns the release rate in requests at the current work in flight, or zero if
// it is not known.
func (r *releaseRate) requestsPerSecond() float64 {
	if r.workSeconds <= 0 {
		return 0
	}
	return r.releasedWork / r.workSeconds * float64(r.inFlight) / float64(ident.OneRequest)
}

// queueDelay estimates how long a new request would wait behind the given number of requests.
func (r *releaseRate) queueDelay(ahead int) (queueDelay time.Duration, known bool) {
	requestsPerSecond := r.requestsPerSecond()
	if requestsPerSecond <= 0 {
		return 0, false
	}
	seconds := min(float64(ahead+1)/requestsPerSecond, quota.MaxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// noReleaseSince reports whether no work has been released since the given time.
func (r *releaseRate) noReleaseSince(since time.Time) bool { return !r.lastRelease.After(since) }
