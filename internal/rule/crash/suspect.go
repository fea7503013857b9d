package crash

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Start identifies one start of a target by 32 bits of a hash.
type Start uint32

// NewStart returns the identifier of an incarnation of a target.
func NewStart(target ident.TargetHash, incarnation ident.Incarnation) Start {
	return Start(ident.Mix(uint64(target), uint64(incarnation)))
}

// Crash is the crash of a target while it ran a request.
type Crash struct {
	Start Start
	At    time.Time
	// Ran is the time from sending the request to the target until the crash.
	Ran time.Duration
}

// Suspect is a request under which targets have crashed.
type Suspect struct {
	Request ident.Fingerprint
	// Crashes are the latest crashes, in order of time, with at most one for each start.
	Crashes []Crash
	// Served is the time of the last complete answer to the request, or zero if there is none.
	Served time.Time
}

const (
	// quarantineThreshold is the number of crashes under a request, not explained by a likelier
	// request, after which it is quarantined. In the model, a threshold of two costs 86 engines for
	// 32 requests that crash their targets, and leaves 25 harmless requests unserved; three costs
	// 113 and 166. Each crash aborts 15 harmless requests, some of them on their last attempt.
	quarantineThreshold = 2
	// firstQuarantine is the duration of the quarantine after the second crash. Two crashes are
	// weak evidence: if they are a coincidence, the caller is delayed by no more than this. A third
	// crash is taken as proof.
	firstQuarantine = 30 * time.Second
	// baseQuarantine is the duration of the quarantine after the third crash; it doubles with each
	// further one. After it, one more attempt shows whether the targets have been fixed, which may
	// crash another one: 8 of them in a day.
	baseQuarantine = 10 * time.Minute
	// maxCrashes is the maximum number of crashes recorded for one request. The quarantine grows to
	// 5.3 hours.
	maxCrashes = 8
	// grace is the period after a complete answer in which crashes are not blamed on the request. A
	// request that many callers send runs on every target that crashes, and several targets may
	// lose power together.
	grace = 5 * time.Second
	// expiryFactor is the time after which a suspect expires, as a multiple of its quarantine and
	// at least of baseQuarantine.
	expiryFactor = 2
)

// blamed reports whether the request is blamed for a crash.
func (s Suspect) blamed(e Crash) bool { return s.Served.IsZero() || e.At.After(s.Served.Add(grace)) }

// blamedCrashes returns the crashes that the request is blamed for.
func (s Suspect) blamedCrashes() []Crash {
	if s.Served.IsZero() {
		return s.Crashes
	}
	return slices.DeleteFunc(slices.Clone(s.Crashes), func(e Crash) bool { return !s.blamed(e) })
}

// blame returns the number of crashes that the request is blamed for, and the mean time that it ran
// before them.
func (s Suspect) blame() (crashes int, ran time.Duration) {
	for _, e := range s.Crashes {
		if s.blamed(e) {
			crashes++
			ran += e.Ran
		}
	}
	return crashes, ran / time.Duration(max(crashes, 1))
}

// blamedForStart reports whether the request is blamed for the crash of a start.
func (s Suspect) blamedForStart(start Start) bool {
	return slices.ContainsFunc(s.Crashes, func(e Crash) bool { return e.Start == start && s.blamed(e) })
}

// quarantineDuration returns the duration of the quarantine after the given number of crashes, from
// the latest of them.
func quarantineDuration(crashes int) time.Duration {
	switch {
	case crashes < quarantineThreshold:
		return 0
	case crashes == quarantineThreshold:
		return firstQuarantine
	default:
		return baseQuarantine << (min(crashes, maxCrashes) - quarantineThreshold - 1)
	}
}

// Expired reports whether the suspect can be removed.
func (s Suspect) Expired(now time.Time) bool {
	latest := s.Served.Add(grace)
	if n := len(s.Crashes); n > 0 && s.Crashes[n-1].At.After(latest) {
		latest = s.Crashes[n-1].At
	}
	return now.Sub(latest) > expiryFactor*max(quarantineDuration(len(s.blamedCrashes())), baseQuarantine)
}

// add adds a crash. It reports whether the list of crashes changed: a start that is already in the
// list is not added, and neither is a crash older than those of a full list.
func (s *Suspect) add(e Crash) bool {
	if slices.ContainsFunc(s.Crashes, func(recorded Crash) bool { return recorded.Start == e.Start }) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.Crashes, e, func(a, b Crash) int { return a.At.Compare(b.At) })
	s.Crashes = slices.Insert(s.Crashes, at, e)
	if len(s.Crashes) > maxCrashes {
		s.Crashes = s.Crashes[1:]
		return at > 0
	}
	return true
}

// serve records a complete answer and reports whether it changes the crashes that the request is
// blamed for.
func (s *Suspect) serve(at time.Time) bool {
	if !at.After(s.Served) {
		return false
	}
	before := len(s.blamedCrashes())
	s.Served = at
	return len(s.blamedCrashes()) != before
}
