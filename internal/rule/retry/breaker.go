package retry

import "time"

// BreakerState is the state of a circuit breaker.
type BreakerState string

const (
	// Closed breakers admit all requests.
	Closed BreakerState = "closed"
	// Open breakers admit no requests until their open period has elapsed.
	Open BreakerState = "open"
	// HalfOpen breakers admit a single probe request.
	HalfOpen BreakerState = "half_open"
)

// Breaker is the circuit breaker of one target. It opens when a large part of the requests
// that were sent to the target fail.
type Breaker struct {
	state BreakerState
	// failures and total count the failed requests and all requests. They decay with breakerHalfLife
	// and are as of decayedAt.
	failures  float64
	total     float64
	decayedAt time.Time
	// openDuration is the length of the open period, which ends at openUntil.
	openUntil    time.Time
	openDuration time.Duration
	// probing is set while the probe of a half-open breaker runs.
	probing bool
	// tripped is set from a failed connection attempt, or a silence, until the breaker closes again. silent is set if
	// nothing but silences opened it.
	tripped bool
	silent  bool
}

const (
	// breakerHalfLife is the time after which a request counts half.
	breakerHalfLife = 5 * time.Second
	// breakerMinRequests is the decayed number of requests from which failures open a breaker, and
	// breakerFailureRatio the fraction of them that must have failed.
	breakerMinRequests  = 4
	breakerFailureRatio = 0.5
	// breakerMinCount is the decayed number of requests that counts as none.
	breakerMinCount = 0.01
	// breakerOpenDuration is the first open period. It doubles with each failed probe, up to
	// breakerMaxOpenDuration.
	breakerOpenDuration    = time.Second
	breakerMaxOpenDuration = 30 * time.Second
)

// NewBreaker returns a closed breaker.
func NewBreaker(now time.Time) *Breaker {
	return &Breaker{state: Closed, decayedAt: now, openDuration: breakerOpenDuration}
}

// Allow reports whether a request may be sent now. In the half-open state the request is
// the probe, and the caller must report its outcome with Report, Trip or ReportCancelled.
func (b *Breaker) Allow(now time.Time) bool {
	if b.Blocked(now) {
		return false
	}
	if b.state != Closed {
		b.state, b.probing = HalfOpen, true
	}
	return true
}

// Trip opens the breaker regardless of the failure ratio, after a connection to the target
// could not be established.
func (b *Breaker) Trip(now time.Time) {
	if b.state == Open && now.Before(b.openUntil) {
		return
	}
	openDuration := b.openDuration
	if b.state == HalfOpen {
		openDuration = b.nextOpenDuration()
	}
	b.open(now, openDuration)
	b.tripped, b.silent = true, false
}

// TripSilent opens the breaker as Trip does, after the target has sent nothing for too long.
func (b *Breaker) TripSilent(now time.Time) {
	silentOnly := b.silent || b.state == Closed
	b.Trip(now)
	b.silent = silentOnly
}

// Answered records bytes of an answer. They close a breaker that only silences opened: the target goes on. Of any breaker
// that was opened by Trip, they are the result of its probe, whose answer may take long.
func (b *Breaker) Answered(now time.Time) {
	if b.silent || b.tripped && b.state == HalfOpen {
		*b = *NewBreaker(now)
	}
}

// Reachable records that a connection to the target could be made again. A breaker that was opened by Trip admits its
// probe now.
func (b *Breaker) Reachable(now time.Time) {
	if b.tripped && b.state == Open && now.Before(b.openUntil) {
		b.openUntil = now
	}
}

// Tripped reports whether the breaker was opened by Trip and has not closed since.
func (b *Breaker) Tripped() bool { return b.tripped }

// Blocked reports whether Allow would return false, without starting a probe.
func (b *Breaker) Blocked(now time.Time) bool {
	return (b.state == Open && now.Before(b.openUntil)) || (b.state == HalfOpen && b.probing)
}

// Report records the outcome of a request.
func (b *Breaker) Report(now time.Time, ok bool) {
	b.decay(now)
	b.total++
	if !ok {
		b.failures++
	}
	switch {
	case b.state == HalfOpen && ok:
		*b = *NewBreaker(now)
	case b.state == HalfOpen:
		b.open(now, b.nextOpenDuration())
	case b.state == Closed && b.total >= breakerMinRequests && b.failures >= breakerFailureRatio*b.total:
		b.open(now, b.openDuration)
	}
}

// ReportCancelled ends a probe whose request finished without an outcome that reflects the state of
// the target, for example because the caller disconnected. The next request may probe again.
func (b *Breaker) ReportCancelled() { b.probing = false }

// nextOpenDuration returns the open period after a failed probe.
func (b *Breaker) nextOpenDuration() time.Duration {
	return min(2*b.openDuration, breakerMaxOpenDuration)
}

// open stops all requests for a period and resets the counts.
func (b *Breaker) open(now time.Time, openDuration time.Duration) {
	b.state = Open
	b.probing = false
	b.openDuration = openDuration
	b.openUntil = now.Add(openDuration)
	b.failures, b.total = 0, 0
}

// decay halves the counts for each half-life since they last decayed.
func (b *Breaker) decay(now time.Time) {
	for now.Sub(b.decayedAt) >= breakerHalfLife {
		b.failures /= 2
		b.total /= 2
		b.decayedAt = b.decayedAt.Add(breakerHalfLife)
		if b.total < breakerMinCount {
			b.decayedAt = now
			return
		}
	}
}

// State returns the state of the breaker.
func (b *Breaker) State() BreakerState { return b.state }
