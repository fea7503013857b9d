package crash

import (
	"cmp"
	"slices"
	"time"
)

// Record holds one router's suspects. It is not safe for concurrent use.
type Record struct {
	entries map[Trait]*entry
	// byStart contains the entries with a crash of each start.
	byStart map[Start][]*entry
	answers answers
	// rank returns the position of this router in the order in which routers may begin trials of a
	// trait, from zero.
	rank func(Trait) int
	// version counts the changes that may change which crashes are unexplained.
	version uint64
}

// entry is a suspect with the state of its dissemination to peers.
type entry struct {
	Suspect
	// observed is set if this router observed one of the crashes itself.
	observed bool
	// sent counts the messages that have included the entry since it last changed.
	sent int
	// crashes is the number of crashes that the trait is blamed for, meanRan the mean time that
	// requests ran before them.
	crashes int
	meanRan time.Duration
	// abandoned is set if the last trial was one of this router and showed nothing.
	abandoned bool
	// unexplained are the unexplained crashes, and rivals the traits that are as likely their cause, as of
	// a version of the record.
	unexplained []Crash
	rivals      []Trait
	asOf        uint64
}

// NewRecord returns an empty record. The function rank returns the position of this router in an
// order of all routers that differs by trait, from zero.
func NewRecord(rank func(Trait) int) *Record {
	return &Record{entries: map[Trait]*entry{}, byStart: map[Start][]*entry{}, rank: rank}
}

// maxEntries is the maximum number of suspects, about 200 bytes each. The crash of a target makes
// suspects of all requests that ran there, a dozen or two, and of the parts of their prompts. Most
// of them are soon served by another target.
const maxEntries = 4096

// evictedShare is the part of the entries that is evicted at once, as finding them takes a look at
// all.
const evictedShare = 8

// Urgency is the urgency of sending a change of the record to peers.
type Urgency int

const (
	// Nothing means that the record has not changed.
	Nothing Urgency = iota
	// Minor changes are sent with the next periodic gossip.
	Minor
	// Urgent changes may begin or end a quarantine on all routers.
	Urgent
)

// Crashed records that a target has crashed while it ran a request with the given traits; ran is the
// time since the request was sent to it.
func (r *Record) Crashed(now time.Time, traits []Trait, start Start, ran time.Duration) Urgency {
	urgency := Nothing
	for _, t := range traits {
		e := r.entry(now, t)
		e.observed = true
		urgency = max(urgency, r.changed(e, r.addCrash(e, Crash{Start: start, At: now, Ran: ran})))
	}
	return urgency
}

// Served records a complete answer to a request with the given traits.
func (r *Record) Served(now time.Time, traits []Trait) Urgency {
	urgency := Nothing
	for _, t := range traits {
		r.answers.record(now, t)
		e, found := r.entries[t]
		if !found {
			continue
		}
		quarantined := e.crashes >= t.Kind.threshold()
		change := r.changed(e, e.serve(now))
		if quarantined && change == Minor {
			// Callers are rejected until all routers have received it.
			change = Urgent
		}
		urgency = max(urgency, change)
	}
	return urgency
}

// Merge adds the crashes, the last complete answer and the last trial in a suspect received from a
// peer.
func (r *Record) Merge(now time.Time, s Suspect) Urgency {
	if s.Expired(now) {
		return Nothing
	}
	e := r.entry(now, s.Trait)
	changed := e.serve(s.Served)
	for _, crash := range s.Crashes {
		changed = r.addCrash(e, crash) || changed
	}
	if s.Tried.After(e.Tried.Add(trialInterval)) {
		// Ages on the wire are not exact, so that the same trial may seem later.
		e.Tried, e.abandoned, changed = s.Tried, false, true
	}
	return r.changed(e, changed)
}

// addCrash adds a crash to an entry and reports whether its list of crashes changed.
func (r *Record) addCrash(e *entry, crash Crash) bool {
	before := e.Crashes
	if !e.add(crash) {
		return false
	}
	r.byStart[crash.Start] = append(r.byStart[crash.Start], e)
	for _, old := range before {
		if !slices.ContainsFunc(e.Crashes, func(kept Crash) bool { return kept.Start == old.Start }) {
			r.forget(e, old.Start)
		}
	}
	return true
}

// forget removes an entry from those with a crash of a start.
func (r *Record) forget(e *entry, start Start) {
	left := slices.DeleteFunc(r.byStart[start], func(other *entry) bool { return other == e })
	if len(left) == 0 {
		delete(r.byStart, start)
		return
	}
	r.byStart[start] = left
}

// changed schedules a changed entry for sending to peers and returns the urgency.
func (r *Record) changed(e *entry, changed bool) Urgency {
	if !changed {
		return Nothing
	}
	e.sent = 0
	r.version++
	e.crashes, e.meanRan = e.blame()
	if e.crashes >= e.Kind.threshold() {
		return Urgent
	}
	return Minor
}

// entry returns the entry of a trait and creates it if there is none.
func (r *Record) entry(now time.Time, t Trait) *entry {
	e, found := r.entries[t]
	if !found {
		r.evict(now)
		e = &entry{Suspect: Suspect{Trait: t, Served: r.answers.servedAt(t)}}
		r.entries[t] = e
	}
	return e
}

// evict removes expired entries if the record is full. If none has expired, it evicts those that are
// blamed for the fewest crashes, and of these the ones with the oldest crash and the longest run.
func (r *Record) evict(now time.Time) {
	if len(r.entries) < maxEntries {
		return
	}
	r.Sweep(now)
	if len(r.entries) < maxEntries {
		return
	}
	all := r.all()
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.latest().Compare(b.latest()), cmp.Compare(b.meanRan, a.meanRan), cmp.Compare(a.Hash, b.Hash))
	})
	for _, e := range all[:maxEntries/evictedShare] {
		r.remove(e)
	}
}

// latest returns the time of the latest crash, or of the last complete answer if there is no crash.
func (e *entry) latest() time.Time {
	if len(e.Crashes) == 0 {
		return e.Served
	}
	return e.Crashes[len(e.Crashes)-1].At
}

// all returns the entries in no particular order.
func (r *Record) all() []*entry {
	out := make([]*entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e)
	}
	return out
}

// Sweep removes expired entries.
func (r *Record) Sweep(now time.Time) {
	for _, e := range r.entries {
		if e.Expired(now) {
			r.remove(e)
		}
	}
}

// remove removes an entry.
func (r *Record) remove(e *entry) {
	r.version++
	for _, crash := range e.Crashes {
		r.forget(e, crash.Start)
	}
	delete(r.entries, e.Trait)
}

// NearQuarantine reports whether one more crash may quarantine a request with the given traits.
func (r *Record) NearQuarantine(traits []Trait) bool {
	return slices.ContainsFunc(traits, func(t Trait) bool {
		e, found := r.entries[t]
		return found && e.crashes >= t.Kind.threshold()-1
	})
}

// Find returns the suspect of a trait, and whether this router observed one of its crashes itself.
func (r *Record) Find(t Trait) (s Suspect, observed, found bool) {
	e, found := r.entries[t]
	if !found {
		return Suspect{}, false, false
	}
	return e.copy(), e.observed, true
}

// copy returns a copy of the suspect that shares no memory with the entry.
func (e *entry) copy() Suspect {
	s := e.Suspect
	s.Crashes = slices.Clone(s.Crashes)
	return s
}
