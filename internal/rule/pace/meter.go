package pace

import (
	"sync"
	"time"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
)

// Kind is a kind of request whose steps take a similar time, for example those of one route.
type Kind string

// Size is the size of a request as far as it is known before the answer.
type Size struct {
	// Own is the part of the prompt that only this request has, Prefix the part that it shares with
	// others.
	Own    ident.Tokens
	Prefix ident.Tokens
	// Output is the expected size of the answer, zero if unknown.
	Output ident.Tokens
}

// Effort is the time that a request usually takes at a target of usual pace. Unknown times are zero.
type Effort struct {
	// Read is the time to read the part of the prompt that only this request has, Prefix the time to
	// read the shared part at a target that has not cached it.
	Read   time.Duration
	Prefix time.Duration
	// Make is the time to make the answer.
	Make time.Duration
}

// Finished describes an attempt with a complete answer.
type Finished struct {
	Size
	// Cached is set if the target had cached the shared part of the prompt. Otherwise it is not known
	// how much of it the target had to read.
	Cached bool
	// First is the time until the first byte of the answer, Whole that until its end.
	First time.Duration
	Whole time.Duration
	// Events is the number of events of a stream, zero for other answers.
	Events int
}

const (
	// usualHalfLife is the half-life of the usual times. It covers some hundred answers of a busy
	// route and follows a change of a route's requests within a minute.
	usualHalfLife = 10 * time.Second
	// maxKinds limits the number of kinds of requests for which usual times are kept. All are
	// dropped when the limit is reached, to make room for new ones.
	maxKinds = 4096
	// defaultReadTime is the time to read one token of a prompt until it was measured.
	defaultReadTime = 20 * time.Microsecond
	// minReadSample is the number of tokens from which the time to the first byte shows the time to
	// read a token. The time of shorter prompts is mostly that of the network and of the first step.
	minReadSample ident.Tokens = 500
	// readQuantile is the quantile of the observed times per token that counts as the time to read
	// one. Higher ones include the time that prompts wait for each other.
	readQuantile = 0.25
	// readStep is the relative step by which the estimated quantile follows an observation.
	readStep = 0.1
)

// average is a decayed average time per unit.
type average struct {
	seconds float64
	units   float64
	at      time.Time
}

// add adds the time that some units took.
func (a *average) add(now time.Time, took time.Duration, units float64) {
	kept := decay.Factor(now.Sub(a.at), usualHalfLife)
	a.seconds = a.seconds*kept + took.Seconds()
	a.units = a.units*kept + units
	a.at = now
}

// time returns the usual time of some units, or zero if it is unknown.
func (a *average) time(units float64) time.Duration {
	if a.units <= 0 {
		return 0
	}
	return time.Duration(units * a.seconds / a.units * float64(time.Second))
}

// usualTimes are the usual times of one kind of request.
type usualTimes struct {
	// perEvent is the time between two events of a stream, perToken the time to make one token of
	// the expected output, and perAnswer that to make a whole answer.
	perEvent  average
	perToken  average
	perAnswer average
}

// Meter measures how long requests usually take. It is safe for concurrent use.
type Meter struct {
	clock ident.Clock
	mu    sync.Mutex
	kinds map[Kind]*usualTimes
	// readTimes holds the time to read one token of a prompt at the targets of each service.
	readTimes map[ident.Service]time.Duration
}

// NewMeter returns a meter without measurements.
func NewMeter(clock ident.Clock) *Meter {
	return &Meter{clock: clock, kinds: map[Kind]*usualTimes{}, readTimes: map[ident.Service]time.Duration{}}
}

// Effort returns the usual time of a request.
func (m *Meter) Effort(service ident.Service, kind Kind, size Size) Effort {
	m.mu.Lock()
	defer m.mu.Unlock()
	perToken := m.readTime(service)
	e := Effort{Read: time.Duration(size.Own) * perToken, Prefix: time.Duration(size.Prefix) * perToken}
	if usual := m.kinds[kind]; usual != nil {
		e.Make = usual.makeTime(size)
	}
	return e
}

// makeTime returns the usual time to make an answer.
func (u *usualTimes) makeTime(size Size) time.Duration {
	if size.Output > 0 && u.perToken.units > 0 {
		return u.perToken.time(float64(size.Output))
	}
	return u.perAnswer.time(1)
}

// readTime returns the time to read one token. The caller holds the lock.
func (m *Meter) readTime(service ident.Service) time.Duration {
	if t, known := m.readTimes[service]; known {
		return t
	}
	return defaultReadTime
}

// Add adds a finished attempt. It returns the time that the measured step took and the time that it
// usually takes, both zero if nothing was measured: of a stream the time between its events, which
// does not depend on the size of the prompt, and of other answers the whole time.
func (m *Meter) Add(service ident.Service, kind Kind, f Finished) (took, expected time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	usual := m.usual(kind)
	if f.Events == 0 {
		expected = usual.perAnswer.time(1)
		usual.perAnswer.add(now, f.Whole, 1)
		return f.Whole, expected
	}
	m.addRead(service, f)
	making := f.Whole - f.First
	usual.perAnswer.add(now, making, 1)
	if f.Output > 0 {
		usual.perToken.add(now, making, float64(f.Output))
	}
	if gaps := float64(f.Events - 1); gaps > 0 {
		expected = usual.perEvent.time(gaps)
		usual.perEvent.add(now, making, gaps)
		took = making
	}
	return took, expected
}

// usual returns the usual times of a kind, which it creates on first use. The caller holds the lock.
func (m *Meter) usual(kind Kind) *usualTimes {
	usual, known := m.kinds[kind]
	if !known {
		if len(m.kinds) >= maxKinds {
			clear(m.kinds)
		}
		usual = &usualTimes{}
		m.kinds[kind] = usual
	}
	return usual
}

// addRead adds the time to the first byte of an answer to the estimated time to read a token. The
// caller holds the lock.
func (m *Meter) addRead(service ident.Service, f Finished) {
	if !f.Cached || f.Own < minReadSample || f.First <= 0 {
		return
	}
	observed := f.First / time.Duration(f.Own)
	estimate, known := m.readTimes[service]
	if !known {
		if len(m.readTimes) >= maxKinds {
			clear(m.readTimes)
		}
		// The first observation may have waited for other prompts.
		m.readTimes[service] = min(observed, defaultReadTime)
		return
	}
	step := float64(estimate) * readStep
	if observed < estimate {
		m.readTimes[service] = estimate - time.Duration(step*(1-readQuantile))
		return
	}
	m.readTimes[service] = estimate + time.Duration(step*readQuantile)
}
