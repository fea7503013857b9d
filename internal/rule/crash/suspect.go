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
	// Ran is the time from sending the request to the target until the crash; the longest one if several
	// requests with the trait ran there.
	Ran time.Duration
}

// Suspect is a trait of requests under which targets have crashed.
type Suspect struct {
	Trait
	// Crashes are the latest crashes, in order of time, with at most one for each start.
	Crashes []Crash
	// Served is the time of the last complete answer to a request with the trait, or zero if there is
	// none.
	Served time.Time
	// Tried is the time of the last trial, or zero if there was none.
	Tried time.Time
}

const (
	// requestThreshold is the threshold for whole requests. In the model, a threshold of two costs 86
	// engines for 32 requests that crash their targets, and leaves 25 harmless requests unserved; three
	// costs 113 and 166. Each crash aborts 15 harmless requests, some of them on their last attempt.
	requestThreshold = 2
	// partThreshold is the threshold for parts of prompts.
	partThreshold = 3
	// firstQuarantine is the duration of the first quarantine. It may be due to a coincidence, which
	// delays callers by no more than this.
	firstQuarantine = 30 * time.Second
	// baseQuarantine is the duration of the second quarantine, after a trial has crashed another target;
	// it doubles with each further one: 8 trials in a day.
	baseQuarantine = 10 * time.Minute
	// maxCrashes is the maximum number of crashes recorded for one trait. The quarantine grows to 5.3
	// hours.
	maxCrashes = 8
	// grace is the period after a complete answer in which crashes are not blamed on the trait. What
	// many requests share runs on every target that crashes, and several targets may lose power
	// together.
	grace = 5 * time.Second
	// sameCause is the time in which crashes of several targets under one part count as one crash.
	// Requests with a common part run on many targets, which may be terminated together.
	sameCause = 50 * time.Millisecond
	// settleTime is the time in which a quarantine reaches all routers. Crashes under a part that follow
	// each other more closely are due to requests sent before the quarantine.
	settleTime = 5 * time.Second
	// expiryFactor is the time after which a suspect expires, as a multiple of its quarantine and
	// at least of baseQuarantine.
	expiryFactor = 2
	// quarantineRetention is the time for which a trait remains known that has once been quarantined, so
	// that a trial decides about it when it comes again.
	quarantineRetention = 12 * time.Hour
)

// blamed reports whether the trait is blamed for a crash.
func (s Suspect) blamed(e Crash) bool { return s.Served.IsZero() || e.At.After(s.Served.Add(grace)) }

// blamedCrashes returns the crashes that the trait is blamed for.
func (s Suspect) blamedCrashes() []Crash {
	if s.Served.IsZero() {
		return s.Crashes
	}
	return slices.DeleteFunc(slices.Clone(s.Crashes), func(e Crash) bool { return !s.blamed(e) })
}

// blame returns the number of crashes that the trait is blamed for, and the mean time that requests
// ran before them.
func (s Suspect) blame() (crashes int, ran time.Duration) {
	blamed := s.blamedCrashes()
	for _, e := range blamed {
		ran += e.Ran
	}
	return s.Kind.count(blamed), ran / time.Duration(max(len(blamed), 1))
}

// count returns the number of crashes that count, of those given in order of time.
func (k Kind) count(crashes []Crash) int {
	if k == WholeRequest {
		// The attempts of a request follow each other, so that no common cause can end them together.
		return len(crashes)
	}
	return countGroups(crashes, sameCause)
}

// countGroups returns the number of groups of crashes, given in order of time. Crashes within the
// given time of the first one of a group belong to it.
func countGroups(crashes []Crash, within time.Duration) int {
	groups := 0
	var first time.Time
	for _, e := range crashes {
		if groups == 0 || e.At.Sub(first) > within {
			groups++
			first = e.At
		}
	}
	return groups
}

// Answered reports whether a complete answer is why the trait is blamed for fewer crashes than there
// were.
func (s Suspect) Answered() bool { return len(s.blamedCrashes()) < len(s.Crashes) }

// blamedForStart reports whether the trait is blamed for the crash of a start.
func (s Suspect) blamedForStart(start Start) bool {
	return slices.ContainsFunc(s.Crashes, func(e Crash) bool { return e.Start == start && s.blamed(e) })
}

// quarantineDuration returns the duration of the quarantine after the given crashes, from the latest
// of them.
func (k Kind) quarantineDuration(crashes []Crash) time.Duration {
	if k.count(crashes) < k.threshold() {
		return 0
	}
	repeated := 0
	if k == WholeRequest {
		repeated = len(crashes) - k.threshold()
	} else {
		// Many requests with the part are under way when its quarantine begins.
		repeated = countGroups(crashes, settleTime) - 1
	}
	if repeated == 0 {
		return firstQuarantine
	}
	return baseQuarantine << (min(repeated, maxCrashes-requestThreshold) - 1)
}

// Expired reports whether the suspect can be removed.
func (s Suspect) Expired(now time.Time) bool {
	latest := s.Served.Add(grace)
	if n := len(s.Crashes); n > 0 && s.Crashes[n-1].At.After(latest) {
		latest = s.Crashes[n-1].At
	}
	keep := expiryFactor * baseQuarantine
	if s.Kind.quarantineDuration(s.blamedCrashes()) > 0 {
		keep = quarantineRetention
	}
	return now.Sub(latest) > keep
}

// add adds a crash. It reports whether the list of crashes changed: a start that is already in the
// list is not added, and a full list keeps those crashes that count.
func (s *Suspect) add(e Crash) bool {
	if at := slices.IndexFunc(s.Crashes, func(recorded Crash) bool { return recorded.Start == e.Start }); at >= 0 {
		s.Crashes[at].Ran = max(s.Crashes[at].Ran, e.Ran)
		return false
	}
	at, _ := slices.BinarySearchFunc(s.Crashes, e, func(a, b Crash) int { return a.At.Compare(b.At) })
	with := slices.Insert(slices.Clone(s.Crashes), at, e)
	if len(with) > maxCrashes {
		dropped := s.Kind.leastUseful(with)
		if with[dropped].Start == e.Start {
			return false
		}
		with = slices.Delete(with, dropped, dropped+1)
	}
	s.Crashes = with
	return true
}

// leastUseful returns the index of the crash that a full list can do without: one that does not count
// because another target crashed just before, or else the oldest. Many targets may crash at once, and
// their crashes must not displace those that show the repetition.
func (k Kind) leastUseful(crashes []Crash) int {
	if k == WholeRequest {
		return 0
	}
	for i := len(crashes) - 1; i > 0; i-- {
		if k.count(slices.Delete(slices.Clone(crashes), i, i+1)) == k.count(crashes) {
			return i
		}
	}
	return 0
}

// serve records a complete answer and reports whether it changes the crashes that the trait is
// blamed for.
func (s *Suspect) serve(at time.Time) bool {
	if !at.After(s.Served) {
		return false
	}
	before := len(s.blamedCrashes())
	s.Served = at
	return len(s.blamedCrashes()) != before
}
