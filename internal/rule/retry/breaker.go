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
	state        BreakerState
	failures     float64
	total        float64
	decayedAt    time.Time
	openUntil    time.Time
	openDuration time.Duration
	probing      bool
	// tripped is set from a failed connection attempt until the breaker closes again.
	tripped bool
}

const (
	breakerHalfLife        = 5 * time.Second
	breakerMinRequests     = 4
	breakerFailureRatio    = 0.5
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
	switch b.state {
	case Closed:
		return true
	case Open:
		if now.Before(b.openUntil) {
			return false
		}
		b.state = HalfOpen
		b.probing = true
		return true
	default:
		if b.probing {
			return false
		}
		b.probing = true
		return true
	}
}

// Trip opens the breaker regardless of the failure ratio, after a connection to the target
// could not be established.
func (b *Breaker) Trip(now time.Time) {
	if b.state == Open && now.Before(b.openUntil) {
		return
	}
	openDuration := b.openDuration
	if b.state == HalfOpen {
		openDuration = min(2*b.openDuration, breakerMaxOpenDuration)
	}
	b.open(now, openDuration)
	b.tripped = true
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
		b.open(now, min(b.openDuration*2, breakerMaxOpenDuration))
	case b.state == Closed && b.total >= breakerMinRequests && b.failures >= breakerFailureRatio*b.total:
		b.open(now, b.openDuration)
	}
}

// ReportCancelled ends a probe whose request finished without an outcome that reflects the state of
// the target, for example because the caller disconnected. The next request may probe again.
func (b *Breaker) ReportCancelled() { b.probing = false }

func (b *Breaker) open(now time.Time, openDuration time.Duration) {
	b.state = Open
	b.probing = false
	b.openDuration = openDuration
	b.openUntil = now.Add(openDuration)
	b.failures, b.total = 0, 0
}

func (b *Breaker) decay(now time.Time) {
	for now.Sub(b.decayedAt) >= breakerHalfLife {
		b.failures /= 2
		b.total /= 2
		b.decayedAt = b.decayedAt.Add(breakerHalfLife)
		if b.total < 0.01 {
			b.decayedAt = now
			return
		}
	}
}

func (b *Breaker) State() BreakerState { return b.state }
