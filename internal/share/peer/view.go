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

// Limits contains the size limits of a digest and the timeouts of the membership view.
type Limits struct {
	// Members, Acks and Leaving are the maximum numbers of entries of each kind in one digest.
	Members int
	Acks    int
	Leaving int
	// SuspectTimeout is the time within which a suspect router can refute that it is dead.
	SuspectTimeout time.Duration
	// DeadTTL is the time for which a dead router is retained, so that outdated updates cannot
	// revive it.
	DeadTTL time.Duration
	// ListedGrace is the time for which a router that is known only from a list is not made suspect
	// by failed contacts.
	ListedGrace time.Duration
	// MissingLists is the number of consecutive lists without a target after which the target is
	// removed; a single list may be late or truncated.
	MissingLists int
	// LeavingTTL is the time for which a leaving record is retained after its target is removed or
	// replaced by a later incarnation.
	LeavingTTL time.Duration
}

// DefaultLimits keep a digest below about one kilobyte.
var DefaultLimits = Limits{
	Members:        8,
	Acks:           8,
	Leaving:        8,
	SuspectTimeout: 3 * time.Second,
	DeadTTL:        10 * time.Minute,
	LeavingTTL:     time.Hour,

	MissingLists: 2,
}

// View is one router's membership view of the routers and targets. It is not safe for concurrent
// use.
type View struct {
	self    ident.Router
	limits  Limits
	members map[ident.Router]*memberEntry
	byHash  map[uint32]ident.Router
	targets map[ident.Target]*targetEntry
	leaving map[ident.Target]*leavingEntry
	head    ident.Revision
	era     table.Era
	// targetsListed is set after the first list of targets; the targets of that list have no slow
	// start.
	targetsListed bool
	// listedLive contains the routers of the latest list and whether they are live.
	listedLive map[ident.Router]bool
	// version increases with each change that is relevant to routing.
	version uint64
	// memberVersion increases with those of these changes that concern routers.
	memberVersion uint64
	// targetChanges contains those of these changes that concern targets.
	targetChanges changes[ident.Target]
	// hash is the XOR of the state hashes of all members.
	hash uint64
	// sorted caches the ids of the members in order; nil after a member was added or removed.
	sorted []ident.Router
	// mismatches counts the consecutive digests with a different MembersHash.
	mismatches     int
	requestMembers bool
}

// NewView returns a view that contains only its own router.
func NewView(now time.Time, self Member, limits Limits) *View {
	v := &View{
		self:    self.ID,
		limits:  limits,
		members: map[ident.Router]*memberEntry{},
		byHash:  map[uint32]ident.Router{},
		targets: map[ident.Target]*targetEntry{},
		leaving: map[ident.Target]*leavingEntry{},
	}
	self.State = Live
	self.Seq = firstSeq
	v.setMember(now, self)
	return v
}

// Version increases with each change of routers or targets.
func (v *View) Version() uint64 { return v.version }

// MemberVersion increases with each change of routers.
func (v *View) MemberVersion() uint64 { return v.memberVersion }

// TargetVersion increases with each change of targets.
func (v *View) TargetVersion() uint64 { return v.targetChanges.count }

// TargetsSince returns the targets that changed after a version; known is false if the change log
// no longer reaches back that far.
func (v *View) TargetsSince(version uint64) (ids []ident.Target, known bool) {
	return v.targetChanges.since(version)
}

// Self returns the entry of this router as it is sent to peers.
func (v *View) Self() Member { return v.members[v.self].Member }

// Member returns the entry of one router.
func (v *View) Member(id ident.Router) (Member, bool) {
	e, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// recentListing is the time for which a router that is known only from a list may have died before
// it was listed: its gossip peers detect that within seconds and report it.
const recentListing = 10 * time.Second

// RecentlyListed reports whether a router is known only from a list that was received within
// recentListing.
func (v *View) RecentlyListed(now time.Time, id ident.Router) bool {
	e, known := v.members[id]
	return known && e.listed && now.Sub(e.changed) < recentListing
}

// Members returns all routers in the view, dead ones included, in order of id.
func (v *View) Members() []Member { return slices.Collect(v.All()) }

// All iterates over all routers in the view, dead ones included, in order of id.
func (v *View) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, id := range v.memberIDs() {
			if !yield(v.members[id].Member) {
				return
			}
		}
	}
}

// Routers returns the ids of the live routers of a region in order, or those of all regions if the
// region is empty.
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

// setMember stores a member and schedules its update for the next digests.
func (v *View) setMember(now time.Time, m Member) {
	e, ok := v.members[m.ID]
	if !ok {
		e = &memberEntry{}
		v.members[m.ID] = e
		v.sorted = nil
		v.byHash[m.Hash()] = m.ID
	} else {
		v.hash ^= e.stateHash()
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
	v.hash ^= m.stateHash()
}

// mergeMember merges one update and reports whether it changed the view.
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

// refute overrides an update about this router that did not originate from it.
func (v *View) refute(now time.Time, m Member) bool {
	self := v.Self()
	if m.Incarnation < self.Incarnation || (m.Incarnation == self.Incarnation && !m.newer(self)) {
		return false
	}
	if m.Incarnation > self.Incarnation {
		// A later process runs under this id; the present process must not compete with it.
		return false
	}
	self.Seq = m.Seq + 1
	v.setMember(now, self)
	return true
}

// Leave sets the state of this router to Leaving, which is final.
func (v *View) Leave(now time.Time) {
	self := v.Self()
	self.State = Leaving
	self.Seq++
	v.setMember(now, self)
}

// ContactFailed records that a router did not respond: a live router becomes suspect, a leaving one
// dead.
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
		// The router announced that it would stop.
		m.State = Dead
	default:
		return
	}
	v.setMember(now, m)
}

// Tick sets routers to Dead that were suspect for longer than SuspectTimeout and removes expired
// entries.
func (v *View) Tick(now time.Time) {
	for id, e := range v.members {
		age := now.Sub(e.changed)
		switch {
		case id == v.self:
		case e.State == Suspect && age > v.limits.SuspectTimeout:
			m := e.Member
			m.State = Dead
			v.setMember(now, m)
		case e.State == Dead && age > v.limits.DeadTTL:
			v.hash ^= e.stateHash()
			delete(v.byHash, e.Hash())
			delete(v.members, id)
			v.sorted = nil
			v.memberChanged()
		}
	}
	v.evictLeaving(now)
}

// memberChanged records a change of a router.
func (v *View) memberChanged() {
	v.version++
	v.memberVersion++
}

// evictLeaving removes the expired leaving records of targets that are removed or have a later
// incarnation.
func (v *View) evictLeaving(now time.Time) {
	for id, m := range v.leaving {
		t, known := v.targets[id]
		if now.Sub(m.at) > v.limits.LeavingTTL && (!known || t.removed || t.Incarnation > m.incarnation) {
			delete(v.leaving, id)
		}
	}
}

// SetRevision records the revision in force at this router.
func (v *View) SetRevision(revision ident.Revision) {
	e := v.members[v.self]
	if revision <= e.revision {
		return
	}
	e.revision = revision
	e.ackSent = 0
	v.head = max(v.head, revision)
}

// RaiseHead raises the head to a revision that is in force at this router without acknowledging it,
// so that routers without it receive it. It is for revisions whose installation at all routers is
// not awaited.
func (v *View) RaiseHead(revision ident.Revision) { v.head = max(v.head, revision) }

// RaiseEra raises the latest era of the store that this router has received.
func (v *View) RaiseEra(era table.Era) { v.era = max(v.era, era) }

// Head returns the highest revision received.
func (v *View) Head() ident.Revision { return v.head }

// RevisionOf returns the revision that a router has acknowledged as in force.
func (v *View) RevisionOf(id ident.Router) ident.Revision {
	e, ok := v.members[id]
	if !ok {
		return 0
	}
	return e.revision
}

// Outstanding returns the routers that have not acknowledged a revision and are not known to have
// stopped. A dead router counts as stopped only once the platform's list no longer contains it:
// partitioned from its peers, it may still serve requests.
func (v *View) Outstanding(revision ident.Revision) []ident.Router {
	var out []ident.Router
	for id, e := range v.members {
		if (e.State != Dead || v.listedLive[id]) && e.revision < revision {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// sendLimit is the number of times that an update is sent before later differences are left to the
// comparison of hashes: a small multiple of the logarithm of the number of routers.
func (v *View) sendLimit() int {
	const times = 3
	return times * bits.Len(uint(len(v.members)))
}
