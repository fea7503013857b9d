package peer

import (
	"iter"
	"math/bits"
	"slices"
	"sort"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Limits bounds what one digest carries and how long things are believed.
type Limits struct {
	// Members, Acks and Marks are how many of each one digest carries at most.
	Members int
	Acks    int
	Marks   int
	// SuspectFor is how long a suspect router has to say that it is alive.
	SuspectFor time.Duration
	// DeadFor is how long a dead router is remembered, so that old news cannot revive it.
	DeadFor time.Duration
	// ListedGrace is how long a router that is only known from a list may not answer before
	// it is suspect.
	ListedGrace time.Duration
	// MissingLists is how many lists in a row must lack a target before it is gone; one
	// list may be late or cut short.
	MissingLists int
	// MarkFor is how long the mark of a target that is gone is remembered.
	MarkFor time.Duration
}

// DefaultLimits keep a digest under about a kilobyte.
var DefaultLimits = Limits{
	Members:    8,
	Acks:       8,
	Marks:      8,
	SuspectFor: 3 * time.Second,
	DeadFor:    10 * time.Minute,
	MarkFor:    time.Hour,

	MissingLists: 2,
}

// View is one router's knowledge of routers and targets. It is not safe
// for use by several goroutines at once.
type View struct {
	self    ident.Router
	limits  Limits
	members map[ident.Router]*memberEntry
	byHash  map[uint32]ident.Router
	targets map[ident.Target]*targetEntry
	marks   map[ident.Target]*markEntry
	head    ident.Revision
	era     table.Era
	listed  bool
	// onList are the live routers of the latest list.
	onList map[ident.Router]bool
	// version grows with each change that routing cares about.
	version uint64
	// memberVersion grows with those among them that are of routers.
	memberVersion uint64
	// targetChanges are those among them that are of targets.
	targetChanges changes[ident.Target]
	// hash is the exclusive or of all members' digests.
	hash uint64
	// sorted holds the members' ids in order, or nothing after one came or went.
	sorted []ident.Router
	// mismatches counts digests in a row whose sender knew other members.
	mismatches int
	wantWhole  bool
}

// NewView returns a view that knows only its own router.
func NewView(now time.Time, self Member, limits Limits) *View {
	v := &View{
		self:    self.ID,
		limits:  limits,
		members: map[ident.Router]*memberEntry{},
		byHash:  map[uint32]ident.Router{},
		targets: map[ident.Target]*targetEntry{},
		marks:   map[ident.Target]*markEntry{},
	}
	self.State = Live
	self.Seq = firstSeq
	v.setMember(now, self)
	return v
}

// Version grows with each change of routers or targets.
func (v *View) Version() uint64 { return v.version }

// MemberVersion grows with each change of routers.
func (v *View) MemberVersion() uint64 { return v.memberVersion }

// TargetVersion grows with each change of targets.
func (v *View) TargetVersion() uint64 { return v.targetChanges.count }

// TargetsSince returns the targets that changed after a version; known is false if that was too long ago to tell.
func (v *View) TargetsSince(version uint64) (ids []ident.Target, known bool) {
	return v.targetChanges.since(version)
}

// Self returns this router as the others are to see it.
func (v *View) Self() Member { return v.members[v.self].Member }

// Member returns one router.
func (v *View) Member(id ident.Router) (Member, bool) {
	e, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// listedDoubt is for how long a router that is known from a list alone may have died before: its neighbours find out
// within seconds, and tell.
const listedDoubt = 10 * time.Second

// Doubtful reports whether all that is known of a router is a list that named it a moment ago.
func (v *View) Doubtful(now time.Time, id ident.Router) bool {
	e, known := v.members[id]
	return known && e.listed && now.Sub(e.changed) < listedDoubt
}

// Members returns all routers that are remembered, in order of id.
func (v *View) Members() []Member { return slices.Collect(v.All()) }

// All goes through all routers that are remembered, in order of id.
func (v *View) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, id := range v.order() {
			if !yield(v.members[id].Member) {
				return
			}
		}
	}
}

// Routers returns the ids of the live routers of a region, in order; an empty
// region means all.
func (v *View) Routers(region ident.Region) []ident.Router {
	var out []ident.Router
	for m := range v.All() {
		if m.State == Live && (region == "" || m.Region == region) {
			out = append(out, m.ID)
		}
	}
	return out
}

// Peers returns the other routers that are not dead, in order of id.
func (v *View) Peers() []Member {
	var out []Member
	for m := range v.All() {
		if m.ID != v.self && m.State != Dead {
			out = append(out, m)
		}
	}
	return out
}

// setMember stores a member and starts passing it on.
func (v *View) setMember(now time.Time, m Member) {
	e, ok := v.members[m.ID]
	if !ok {
		e = &memberEntry{}
		v.members[m.ID] = e
		v.sorted = nil
		v.byHash[m.Hash()] = m.ID
	} else {
		v.hash ^= e.digest()
	}
	if e.State != m.State || e.Incarnation != m.Incarnation || e.Addr != m.Addr || e.Cores != m.Cores {
		v.memberChanged()
	}
	if e.Incarnation != m.Incarnation {
		e.revision = 0
	}
	e.Member = m
	e.listed = false
	e.changed = now
	e.sent = 0
	v.hash ^= m.digest()
}

// mergeMember takes in one update and reports whether it was news.
func (v *View) mergeMember(now time.Time, m Member) bool {
	if m.ID == v.self {
		return v.refute(now, m)
	}
	known, ok := v.members[m.ID]
	if ok && !m.newer(known.Member) {
		return false
	}
	v.setMember(now, m)
	return true
}

// refute answers news of this router that is not its own.
func (v *View) refute(now time.Time, m Member) bool {
	self := v.Self()
	if m.Incarnation < self.Incarnation || (m.Incarnation == self.Incarnation && !m.newer(self)) {
		return false
	}
	if m.Incarnation > self.Incarnation {
		// A later process runs under this id; this one must not fight it.
		return false
	}
	self.Seq = m.Seq + 1
	v.setMember(now, self)
	return true
}

// Leave marks this router as leaving, for good.
func (v *View) Leave(now time.Time) {
	self := v.Self()
	self.State = Leaving
	self.Seq++
	v.setMember(now, self)
}

// ContactFailed notes that a router did not answer.
func (v *View) ContactFailed(now time.Time, id ident.Router) {
	e, ok := v.members[id]
	if !ok || id == v.self {
		return
	}
	if e.listed && now.Sub(e.changed) < v.limits.ListedGrace {
		return
	}
	m := e.Member
	switch e.State {
	case Live:
		m.State = Suspect
	case Leaving:
		// It said that it would go, and it has.
		m.State = Dead
	default:
		return
	}
	v.setMember(now, m)
}

// Tick declares routers dead that were suspect, or leaving, for too long, and
// forgets what is old.
func (v *View) Tick(now time.Time) {
	for id, e := range v.members {
		age := now.Sub(e.changed)
		switch {
		case id == v.self:
		case e.State == Suspect && age > v.limits.SuspectFor:
			m := e.Member
			m.State = Dead
			v.setMember(now, m)
		case e.State == Dead && age > v.limits.DeadFor:
			v.hash ^= e.digest()
			delete(v.byHash, e.Hash())
			delete(v.members, id)
			v.sorted = nil
			v.memberChanged()
		}
	}
	v.forgetMarks(now)
}

// memberChanged counts a change of a router.
func (v *View) memberChanged() {
	v.version++
	v.memberVersion++
}

// forgetMarks forgets the old marks of targets that are gone or have started anew.
func (v *View) forgetMarks(now time.Time) {
	for id, m := range v.marks {
		t, known := v.targets[id]
		if now.Sub(m.at) > v.limits.MarkFor && (!known || t.gone || t.Incarnation > m.incarnation) {
			delete(v.marks, id)
		}
	}
}

// SetRevision notes the revision in force here.
func (v *View) SetRevision(revision ident.Revision) {
	e := v.members[v.self]
	if revision <= e.revision {
		return
	}
	e.revision = revision
	e.ackSent = 0
	v.head = max(v.head, revision)
}

// RaiseHead notes a revision that this router has in force, for those who lack it, where nobody waits for
// all to have it.
func (v *View) RaiseHead(revision ident.Revision) { v.head = max(v.head, revision) }

// RaiseEra notes an era of the store that this router has heard of.
func (v *View) RaiseEra(era table.Era) { v.era = max(v.era, era) }

// Head is the highest revision heard of.
func (v *View) Head() ident.Revision { return v.head }

// RevisionOf is the revision known to be in force at a router.
func (v *View) RevisionOf(id ident.Router) ident.Revision {
	e, ok := v.members[id]
	if !ok {
		return 0
	}
	return e.revision
}

// Outstanding returns the routers that are not known to have a revision in force
// and are not known to be gone. A router that does not answer is gone only once
// the platform's list no longer has it: cut off from its peers, it may still serve.
func (v *View) Outstanding(revision ident.Revision) []ident.Router {
	var out []ident.Router
	for id, e := range v.members {
		if (e.State != Dead || v.onList[id]) && e.revision < revision {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// spreadLimit is how often an update is passed on before it is left to the
// comparison of hashes: a few times the logarithm of the number of routers.
func (v *View) spreadLimit() int {
	const times = 3
	return times * bits.Len(uint(len(v.members)))
}
