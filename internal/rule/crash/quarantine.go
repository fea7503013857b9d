package crash

import (
	"slices"
	"time"
)

// Quarantine states whether a request may be sent now.
type Quarantine struct {
	// Trait is the trait for which the request is quarantined, or zero if it is not.
	Trait Trait
	// Left is the time until the request may be sent, or may be the next trial; zero if it is not
	// quarantined.
	Left time.Duration
	// Trial is set if the request is admitted as a trial.
	Trial bool
}

const (
	// trialInterval is the time between the first moments at which two routers may begin a trial. Word of
	// a trial reaches most routers within it.
	trialInterval = time.Second
	// trialTimeout is the time for which a trial excludes others, unless its result is known before.
	trialTimeout = firstQuarantine
	// earlyTrialDelay is the time after the last crash from which a request may be a trial that tells a
	// quarantined trait from another one.
	earlyTrialDelay = 2 * time.Second
)

// Quarantine returns the quarantine of a request with the given traits.
func (r *Record) Quarantine(now time.Time, traits []Trait) Quarantine {
	var longest Quarantine
	for _, t := range traits {
		e, found := r.entries[t]
		if !found {
			continue
		}
		if left := r.quarantineLeft(now, e, traits); left > longest.Left {
			longest = Quarantine{Trait: t, Left: left}
		}
	}
	return longest
}

// Admit returns the quarantine of a request that is about to be sent. If it is not quarantined but one
// of its traits was, the request is a trial, which Admit records.
func (r *Record) Admit(now time.Time, traits []Trait) (Quarantine, Urgency) {
	q := r.Quarantine(now, traits)
	if q.Left > 0 {
		return q, Nothing
	}
	urgency := Nothing
	for _, t := range traits {
		e, found := r.entries[t]
		if found && len(r.unexplainedCrashes(e)) > 0 {
			e.Tried, e.abandoned = now, false
			q.Trial = true
			urgency = r.changed(e, true)
		}
	}
	return q, urgency
}

// Abandon ends a trial that showed nothing, as its target rejected the request or failed in another way
// than by a crash. This router may begin another early trial at once. Other requests still wait: most
// likely they have what crashes targets, and must not reach one target after another.
func (r *Record) Abandon(traits []Trait) {
	for _, t := range traits {
		if e, found := r.entries[t]; found {
			e.abandoned = true
		}
	}
}

// quarantineLeft returns the time for which a request must not be sent because of the trait of an
// entry. Traits are the traits of the request.
//
// After the quarantine, the request may be sent as a trial, one in the fleet at a time. Routers begin
// trials one after the other, in an order that differs by trait, until word of one arrives.
func (r *Record) quarantineLeft(now time.Time, e *entry, traits []Trait) time.Duration {
	unexplained := r.unexplainedCrashes(e)
	if len(unexplained) == 0 {
		return 0
	}
	last := unexplained[len(unexplained)-1].At
	until, tried := last.Add(e.Kind.quarantineDuration(unexplained)), e.Tried.Add(trialTimeout)
	if e.distinguishes(traits) {
		until = last.Add(earlyTrialDelay)
		if e.abandoned {
			tried = until
		}
	}
	if tried.After(until) {
		until = tried
	}
	until = until.Add(time.Duration(r.rank(e.Trait)) * trialInterval)
	return max(until.Sub(now), 0)
}

// distinguishes reports whether an answer to a request shows if the trait of an entry is the cause of
// its crashes: a rival, which the request does not have, may be the cause of all of them.
func (e *entry) distinguishes(traits []Trait) bool {
	return slices.ContainsFunc(e.rivals, func(rival Trait) bool { return !slices.Contains(traits, rival) })
}

// findRivals returns the parts that are as likely the cause of all crashes that the part of an entry is
// blamed for. Whole requests have no rivals: requests with the same trait are equal.
func (r *Record) findRivals(e *entry) []Trait {
	if e.Kind != PromptPart {
		return nil
	}
	var rivals []Trait
	for _, other := range r.byStart[e.blamedCrashes()[0].Start] {
		if other != e && other.Kind == PromptPart && other.covers(e) && other.ranLonger(e) <= ranTolerance {
			rivals = append(rivals, other.Trait)
		}
	}
	return rivals
}

// covers reports whether an entry is blamed for all crashes that another one is blamed for.
func (e *entry) covers(other *entry) bool {
	for _, crash := range other.Crashes {
		if other.blamed(crash) && !e.blamedForStart(crash.Start) {
			return false
		}
	}
	return true
}

// unexplainedCrashes returns the crashes that an entry is blamed for and that no likelier trait
// explains, or nothing if they are too few for a quarantine.
//
// A crash aborts harmless requests as well. They are retried, and while several causes of crashes are in
// circulation, some of them are aborted repeatedly, so that crashes cannot count alike for all. A request that
// crashes its engines late is quarantined some crashes later, once it is blamed for more crashes than the requests
// that ran beside it.
func (r *Record) unexplainedCrashes(e *entry) []Crash {
	if e.crashes < e.Kind.threshold() {
		return nil
	}
	if e.asOf != r.version {
		e.unexplained, e.rivals, e.asOf = r.findUnexplained(e), r.findRivals(e), r.version
	}
	return e.unexplained
}

// findUnexplained is unexplainedCrashes without the results of earlier calls.
func (r *Record) findUnexplained(e *entry) []Crash {
	unexplained := slices.DeleteFunc(slices.Clone(e.blamedCrashes()), func(crash Crash) bool {
		return slices.ContainsFunc(r.byStart[crash.Start], func(other *entry) bool {
			return other.likelier(e) && other.blamedForStart(crash.Start)
		})
	})
	if e.Kind.count(unexplained) < e.Kind.threshold() {
		return nil
	}
	return unexplained
}

// clearlyMore is the number of crashes by which a trait is blamed for clearly more than another one.
const clearlyMore = 3

// likelier reports whether an entry is the likelier cause of the crashes that it shares with another
// one: it is blamed for at least as many less one, and requests ran for a shorter time before them; it is
// a part and blamed for all of them and others; or it is blamed for clearly more. A cause of crashes mostly
// shows soon after a request was sent, and repeatedly, whereas harmless requests are eventually served or
// abandoned.
//
// A request cannot explain crashes under a part, since the part may be why it crashes targets. A part
// explains those under a request if it is quarantined itself.
func (e *entry) likelier(than *entry) bool {
	if e.crashes == 0 || e.Kind != than.Kind && (e.Kind == WholeRequest || e.crashes < e.Kind.threshold()) {
		return false
	}
	switch {
	case e.crashes >= than.crashes+clearlyMore:
		return true
	case than.Kind == WholeRequest:
		return e.crashes >= than.crashes-1 && e.meanRan < than.meanRan
	case e.crashes > than.crashes && e.covers(than):
		return e.ranLonger(than) <= ranTolerance
	default:
		return e.crashes >= than.crashes-1 && e.ranLonger(than) < -ranTolerance
	}
}

// ranTolerance is the precision of times on the wire.
const ranTolerance = time.Millisecond

// ranLonger returns by how much longer requests with the trait of an entry ran than those with the trait of
// another one, on average, before the crashes that the other is blamed for. It is negative if they ran for a
// shorter time, and zero if no crash is common to both.
func (e *entry) ranLonger(than *entry) time.Duration {
	var longer time.Duration
	common := 0
	for _, crash := range than.blamedCrashes() {
		at := slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.Start == crash.Start })
		if at >= 0 {
			longer += e.Crashes[at].Ran - crash.Ran
			common++
		}
	}
	return longer / time.Duration(max(common, 1))
}

// Quarantined returns the number of traits of a kind that are quarantined now.
func (r *Record) Quarantined(now time.Time, kind Kind) int {
	quarantined := 0
	for _, e := range r.entries {
		if e.Kind == kind && r.quarantineLeft(now, e, []Trait{e.Trait}) > 0 {
			quarantined++
		}
	}
	return quarantined
}
