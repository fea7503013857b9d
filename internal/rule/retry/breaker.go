package retry

import "time"

// BreakerState is whether requests may go to a target.
type BreakerState string

const (
	// Closed breakers let everything through.
	Closed BreakerState = "closed"
	// Open breakers let nothing through until a pause is over.
	Open BreakerState = "open"
	// Half open breakers let one request through as a trial.
	HalfOpen BreakerState = "half_open"
)

// Breaker judges one target by the outcomes of the requests sent to it.
type Breaker struct {
	state    BreakerState
	failures float64
	total    float64
	at       time.Time
	until    time.Time
	pause    time.Duration
	trial    bool
	// tripped is set while the breaker is not closed because the target could not be reached.
	tripped bool
}

const (
	breakerHalfLife = 5 * time.Second
	breakerMinimum  = 4
	breakerShare    = 0.5
	breakerPause    = time.Second
	breakerMaxPause = 30 * time.Second
)

// NewBreaker returns a closed breaker.
func NewBreaker(now time.Time) *Breaker {
	return &Breaker{state: Closed, at: now, pause: breakerPause}
}

// Allow reports whether a request may be sent now; in the half open state the
// caller must report the trial's outcome.
func (b *Breaker) Allow(now time.Time) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if now.Before(b.until) {
			return false
		}
		b.state = HalfOpen
		b.trial = true
		return true
	default:
		if b.trial {
			return false
		}
		b.trial = true
		return true
	}
}

// Trip opens the breaker at once: the target could not even be reached.
func (b *Breaker) Trip(now time.Time) {
	if b.state == Open && now.Before(b.until) {
		return
	}
	pause := b.pause
	if b.state == HalfOpen {
		pause = min(2*b.pause, breakerMaxPause)
	}
	b.open(now, pause)
	b.tripped = true
}

// Tripped reports whether the target could not be reached last.
func (b *Breaker) Tripped() bool { return b.tripped }

// Blocked reports whether Allow would refuse, without starting a trial.
func (b *Breaker) Blocked(now time.Time) bool {
	return (b.state == Open && now.Before(b.until)) || (b.state == HalfOpen && b.trial)
}

// Report notes the outcome of a request.
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
		b.open(now, min(b.pause*2, breakerMaxPause))
	case b.state == Closed && b.total >= breakerMinimum && b.failures >= breakerShare*b.total:
		b.open(now, b.pause)
	}
}

// Cancelled notes that a request ended without telling anything of the target.
func (b *Breaker) Cancelled() { b.trial = false }

func (b *Breaker) open(now time.Time, pause time.Duration) {
	b.state = Open
	b.trial = false
	b.pause = pause
	b.until = now.Add(pause)
	b.failures, b.total = 0, 0
}

func (b *Breaker) decay(now time.Time) {
	for now.Sub(b.at) >= breakerHalfLife {
		b.failures /= 2
		b.total /= 2
		b.at = b.at.Add(breakerHalfLife)
		if b.total < 0.01 {
			b.at = now
			return
		}
	}
}

// State returns the breaker's state.
func (b *Breaker) State() BreakerState { return b.state }
