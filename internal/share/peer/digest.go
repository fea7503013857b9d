package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/rule/crash"
)

// Ack reports the revision in force at a member.
type Ack struct {
	Member   uint32
	Revision ident.Revision
}

// Digest is one gossip message of limited size between two routers.
type Digest struct {
	From    ident.Router
	Head    ident.Revision
	Members []Member
	Leaving []LeavingTarget
	Acks    []Ack
	// MembersHash is equal at routers whose views contain the same members in the same states.
	MembersHash uint64
	// RequestMembers requests the full list of members from the receiver.
	RequestMembers bool
	// InForce has one bit for each member, in order of id, which is set if the member has Head in
	// force. It is used only between routers with the same MembersHash.
	InForce []byte
	// Suspects are the traits of requests under which targets crashed.
	Suspects []crash.Suspect
	// CanaryReports are the reports of routers on versions under canary rollout.
	CanaryReports []canary.Report
	// Era is the latest era of the store that the sender has received.
	Era table.Era
	// Pressure is that of the sender.
	Pressure Pressure
}

// maxHashMismatches is the number of consecutive hash mismatches after which a router requests the
// full list of members; updates in flight explain one or two.
const maxHashMismatches = 4

// Outgoing returns the digest for one peer. Updates that were sent least often come first.
func (v *View) Outgoing(to ident.Router, full bool) Digest {
	d := Digest{From: v.self, Head: v.head, Era: v.era, MembersHash: v.hash, RequestMembers: v.requestMembers}
	v.requestMembers = false
	d.Members = v.outgoingMembers(full)
	peer, known := v.members[to]
	if known && peer.State != Live && !full {
		// A live router can refute its wrong state only if it receives it.
		d.Members = append(d.Members, peer.Member)
	}
	d.Acks = v.outgoingAcks()
	d.InForce = v.inForce()
	d.Leaving = v.outgoingLeaving(full)
	return d
}

func (v *View) outgoingMembers(full bool) []Member {
	limit := v.sendLimit()
	var updates []*memberEntry
	for _, e := range v.members {
		if full || e.sent < limit {
			updates = append(updates, e)
		}
	}
	slices.SortFunc(updates, func(a, b *memberEntry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	if !full && len(updates) > v.limits.Members {
		updates = updates[:v.limits.Members]
	}
	out := make([]Member, 0, len(updates))
	for _, e := range updates {
		e.sent++
		out = append(out, e.Member)
	}
	return out
}

func (v *View) outgoingAcks() []Ack {
	limit := v.sendLimit()
	var updates []*memberEntry
	for _, e := range v.members {
		if e.revision > 0 && e.ackSent < limit {
			updates = append(updates, e)
		}
	}
	slices.SortFunc(updates, func(a, b *memberEntry) int {
		return cmp.Or(cmp.Compare(a.ackSent, b.ackSent), cmp.Compare(b.revision, a.revision), cmp.Compare(a.ID, b.ID))
	})
	if len(updates) > v.limits.Acks {
		updates = updates[:v.limits.Acks]
	}
	out := make([]Ack, 0, len(updates))
	for _, e := range updates {
		e.ackSent++
		out = append(out, Ack{Member: e.Hash(), Revision: e.revision})
	}
	return out
}

// outgoingLeaving returns the leaving targets for a digest. A full one contains all of them: it is for a router that
// was not there when they were spread, and whose targets' rows may not show it.
func (v *View) outgoingLeaving(full bool) []LeavingTarget {
	limit := v.sendLimit()
	var out []LeavingTarget
	for id, m := range v.leaving {
		if full || m.sent < limit {
			out = append(out, LeavingTarget{Target: id, Incarnation: m.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b LeavingTarget) int {
		return cmp.Or(cmp.Compare(v.leaving[a.Target].sent, v.leaving[b.Target].sent), cmp.Compare(a.Target, b.Target))
	})
	if !full && len(out) > v.limits.Leaving {
		out = out[:v.limits.Leaving]
	}
	for _, m := range out {
		v.leaving[m.Target].sent++
	}
	return out
}

// Update is the part of a digest that the view did not contain before.
type Update struct {
	// Head is set when the sender has received a later revision than this router.
	Head ident.Revision
	// Era is set when the sender has received a later era of the store.
	Era table.Era
	// SendMembers is set when the sender requests the full list of members.
	SendMembers bool
}

// Incoming merges a digest from a peer. Receiving a digest is no evidence of the state of its
// sender beyond what the digest contains.
func (v *View) Incoming(now time.Time, d Digest) Update {
	var update Update
	for _, m := range d.Members {
		v.mergeMember(now, m)
	}
	for _, m := range d.Leaving {
		v.MarkLeaving(now, m)
	}
	for _, a := range d.Acks {
		v.mergeAck(a)
	}
	if d.MembersHash == v.hash {
		v.mergeInForce(d.Head, d.InForce)
	}
	if d.Head > v.head {
		v.head = d.Head
		update.Head = d.Head
	}
	if d.Era > v.era {
		v.era = d.Era
		update.Era = d.Era
	}
	v.recordPressure(now, d.From, d.Pressure)
	v.compareHash(d)
	update.SendMembers = d.RequestMembers
	return update
}

func (v *View) mergeAck(a Ack) {
	id, ok := v.byHash[a.Member]
	if !ok || id == v.self {
		return
	}
	e := v.members[id]
	if a.Revision > e.revision {
		e.revision = a.Revision
		e.ackSent = 0
	}
}

// memberIDs returns the ids of the members in order.
func (v *View) memberIDs() []ident.Router {
	if v.sorted == nil {
		v.sorted = slices.Sorted(maps.Keys(v.members))
	}
	return v.sorted
}

const bitsPerByte = 8

// inForce returns the bits of the members that have the head in force, or nil while no revision is
// in force at this router.
func (v *View) inForce() []byte {
	if v.members[v.self].revision == 0 {
		return nil
	}
	ids := v.memberIDs()
	bits := make([]byte, (len(ids)+bitsPerByte-1)/bitsPerByte)
	for i, id := range ids {
		if v.members[id].revision >= v.head {
			bits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return bits
}

// mergeInForce merges the bits of a router with the same members, which show where the head is in
// force.
func (v *View) mergeInForce(head ident.Revision, bits []byte) {
	for i, id := range v.memberIDs() {
		if i/bitsPerByte >= len(bits) {
			return
		}
		e := v.members[id]
		if bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 && e.revision < head && id != v.self {
			e.revision = head
		}
	}
}

// compareHash requests the full list of members after repeated hash mismatches.
func (v *View) compareHash(d Digest) {
	if d.MembersHash == v.hash {
		v.mismatches = 0
		return
	}
	v.mismatches++
	if v.mismatches >= maxHashMismatches {
		v.mismatches = 0
		v.requestMembers = true
	}
}
