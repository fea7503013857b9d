package crash

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Record holds one router's suspects. It is not safe for concurrent use.
type Record struct {
	entries map[ident.Fingerprint]*entry
	answers answers
}

// entry is a suspect with the state of its dissemination to peers.
type entry struct {
	Suspect
	// observed is set if this router observed one of the crashes itself.
	observed bool
	// sent counts the messages that have included the entry since it last changed.
	sent int
	// crashes is the number of crashes that the request is blamed for, meanRan the mean time that
	// it ran before them.
	crashes int
	meanRan time.Duration
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{entries: map[ident.Fingerprint]*entry{}} }

// maxEntries is the maximum number of suspects, about 100 bytes each. The crash of a target makes
// suspects of all requests that ran there, a dozen or two, most of which are soon served by
// another target.
const maxEntries = 1024

// Urgency is the urgency of sending a change of the record to peers.
type Urgency int

const (
	// Nothing means that the record has not changed.
	Nothing Urgency = iota
	// Minor changes are sent with the next periodic gossip.
	Minor
	// Urgent changes may quarantine the request on all routers.
	Urgent
)

// Crashed records that a target has crashed while it ran a request; ran is the time since the
// request was sent to it.
func (r *Record) Crashed(now time.Time, request ident.Fingerprint, start Start, ran time.Duration) Urgency {
	e := r.entry(now, request)
	e.observed = true
	return r.changed(e, e.add(Crash{Start: start, At: now, Ran: ran}))
}

// Served records a complete answer to a request.
func (r *Record) Served(now time.Time, request ident.Fingerprint) Urgency {
	r.answers.record(now, request)
	e, found := r.entries[request]
	if !found {
		return Nothing
	}
	return r.changed(e, e.serve(now))
}

// Merge adds the crashes and the last complete answer in a suspect received from a peer.
func (r *Record) Merge(now time.Time, s Suspect) Urgency {
	if s.Expired(now) {
		return Nothing
	}
	e := r.entry(now, s.Request)
	changed := e.serve(s.Served)
	for _, crash := range s.Crashes {
		changed = e.add(crash) || changed
	}
	return r.changed(e, changed)
}

// changed schedules a changed entry for sending to peers and returns the urgency.
func (r *Record) changed(e *entry, changed bool) Urgency {
	if !changed {
		return Nothing
	}
	e.sent = 0
	e.crashes, e.meanRan = e.blame()
	if e.crashes >= quarantineThreshold {
		return Urgent
	}
	return Minor
}

// entry returns the entry of a request and creates it if there is none.
func (r *Record) entry(now time.Time, request ident.Fingerprint) *entry {
	e, found := r.entries[request]
	if !found {
		r.evict(now)
		e = &entry{Suspect: Suspect{Request: request, Served: r.answers.servedAt(request)}}
		r.entries[request] = e
	}
	return e
}

// evict removes expired entries if the record is full. If none has expired, it evicts the entry
// that is blamed for the fewest crashes, and of several the one with the oldest crash.
func (r *Record) evict(now time.Time) {
	if len(r.entries) < maxEntries {
		return
	}
	r.Sweep(now)
	if len(r.entries) < maxEntries {
		return
	}
	leastBlamed := slices.MinFunc(r.all(), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.latest().Compare(b.latest()), cmp.Compare(a.Request, b.Request))
	})
	delete(r.entries, leastBlamed.Request)
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
	for request, e := range r.entries {
		if e.Expired(now) {
			delete(r.entries, request)
		}
	}
}

// QuarantineLeft returns the remaining quarantine of a request, or zero if it is not quarantined.
func (r *Record) QuarantineLeft(now time.Time, request ident.Fingerprint) time.Duration {
	e, found := r.entries[request]
	if !found {
		return 0
	}
	return r.remainingQuarantine(now, e)
}

// remainingQuarantine returns the remaining quarantine of an entry's request.
func (r *Record) remainingQuarantine(now time.Time, e *entry) time.Duration {
	if e.crashes < quarantineThreshold {
		return 0
	}
	unexplained := r.unexplainedCrashes(e)
	if len(unexplained) < quarantineThreshold {
		return 0
	}
	return max(unexplained[len(unexplained)-1].At.Add(quarantineDuration(len(unexplained))).Sub(now), 0)
}

// unexplainedCrashes returns the crashes that an entry is blamed for and that no likelier request
// explains. A likelier request is blamed for at least as many crashes less one, and ran for a
// shorter time before them.
//
// A crash aborts some 15 harmless requests. They are retried, and while several crashing requests
// are in circulation, some of them are aborted repeatedly. A request that crashes engines mostly
// does so soon after it was sent, and repeatedly, whereas harmless requests are eventually served
// or abandoned. If all crashes counted alike, 37 of 31,400 harmless attempts of the model were
// quarantined and 61 engines lost to 32 crashing requests; with this rule it is 2 of 32,200
// attempts and 86 engines. 37 and 25 harmless requests respectively stayed unserved. A request that
// crashes its engines late is quarantined some crashes later, once it is blamed for more crashes
// than the requests that ran beside it.
func (r *Record) unexplainedCrashes(e *entry) []Crash {
	var likelierEntries []*entry
	for _, other := range r.entries {
		if other.crashes >= e.crashes-1 && other.meanRan < e.meanRan {
			likelierEntries = append(likelierEntries, other)
		}
	}
	return slices.DeleteFunc(slices.Clone(e.blamedCrashes()), func(crash Crash) bool {
		return slices.ContainsFunc(likelierEntries, func(other *entry) bool { return other.blamedForStart(crash.Start) })
	})
}

// NearQuarantine reports whether one more crash may quarantine a request.
func (r *Record) NearQuarantine(request ident.Fingerprint) bool {
	e, found := r.entries[request]
	return found && e.crashes >= quarantineThreshold-1
}

// Find returns the suspect of a request, and whether this router observed one of its crashes
// itself.
func (r *Record) Find(request ident.Fingerprint) (s Suspect, observed, found bool) {
	e, found := r.entries[request]
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

// Quarantined returns the number of requests that are quarantined now.
func (r *Record) Quarantined(now time.Time) int {
	quarantined := 0
	for _, e := range r.entries {
		if r.remainingQuarantine(now, e) > 0 {
			quarantined++
		}
	}
	return quarantined
}

const (
	// maxChangedPerMessage is the maximum number of changed suspects in one message, some 20 bytes
	// each.
	maxChangedPerMessage = 32
	// maxUnchangedPerMessage is the maximum number of unchanged quarantined requests in one
	// message, selected in turn, so that routers that have just started receive all of them.
	maxUnchangedPerMessage = 4
	// disseminationFactor is the number of messages that include a changed suspect, as a multiple
	// of the binary logarithm of the number of routers.
	disseminationFactor = 3
)

// Outgoing returns the suspects to include in the next message to a peer, given the number of
// routers in the fleet.
func (r *Record) Outgoing(now time.Time, routers int) []Suspect {
	var changed, unchanged []*entry
	for _, e := range r.entries {
		switch {
		case e.sent < disseminationFactor*bits.Len(uint(routers)):
			changed = append(changed, e)
		case r.remainingQuarantine(now, e) > 0:
			unchanged = append(unchanged, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.sent, b.sent), cmp.Compare(a.Request, b.Request))
	})
	slices.SortFunc(unchanged, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Request, b.Request))
	})
	var out []Suspect
	for _, e := range slices.Concat(changed[:min(len(changed), maxChangedPerMessage)], unchanged[:min(len(unchanged), maxUnchangedPerMessage)]) {
		e.sent++
		out = append(out, e.copy())
	}
	return out
}
