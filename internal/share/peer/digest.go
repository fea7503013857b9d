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

// Ack says which revision is in force at a member.
type Ack struct {
	Member   uint32
	Revision ident.Revision
}

// Digest is one bounded message of news between two routers.
type Digest struct {
	From    ident.Router
	Head    ident.Revision
	Members []Member
	Marks   []Mark
	Acks    []Ack
	// MembersHash is the same at routers that know the same members.
	MembersHash uint64
	// Whole asks for the receiver's whole list of members.
	Whole bool
	// InForce has a bit for each member, in order of id, that has Head in force. It
	// counts only between routers that know the same members.
	InForce []byte
	// Suspects are requests under which targets have ended.
	Suspects []crash.Suspect
	// Trials are what routers have seen of versions on trial.
	Trials []canary.Report
	// Era is the latest of the store that the sender has heard of.
	Era table.Era
}

// wholeAfter is how many mismatching hashes in a row make a router ask for the
// whole list; news in flight explains one or two.
const wholeAfter = 4

// Outgoing makes the digest for one peer: the news that was passed on least often first.
func (v *View) Outgoing(to ident.Router, whole bool) Digest {
	d := Digest{From: v.self, Head: v.head, Era: v.era, MembersHash: v.hash, Whole: v.wantWhole}
	v.wantWhole = false
	d.Members = v.outMembers(whole)
	peer, known := v.members[to]
	if known && peer.State != Live && !whole {
		// A router that is wrongly thought gone can only refute what it hears.
		d.Members = append(d.Members, peer.Member)
	}
	d.Acks = v.outAcks()
	d.InForce = v.inForce()
	d.Marks = v.outMarks()
	return d
}

func (v *View) outMembers(whole bool) []Member {
	limit := v.spreadLimit()
	var news []*memberEntry
	for _, e := range v.members {
		if whole || e.sent < limit {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *memberEntry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	if !whole && len(news) > v.limits.Members {
		news = news[:v.limits.Members]
	}
	out := make([]Member, 0, len(news))
	for _, e := range news {
		e.sent++
		out = append(out, e.Member)
	}
	return out
}

func (v *View) outAcks() []Ack {
	limit := v.spreadLimit()
	var news []*memberEntry
	for _, e := range v.members {
		if e.revision > 0 && e.ackSent < limit {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *memberEntry) int {
		return cmp.Or(cmp.Compare(a.ackSent, b.ackSent), cmp.Compare(b.revision, a.revision), cmp.Compare(a.ID, b.ID))
	})
	if len(news) > v.limits.Acks {
		news = news[:v.limits.Acks]
	}
	out := make([]Ack, 0, len(news))
	for _, e := range news {
		e.ackSent++
		out = append(out, Ack{Member: e.Hash(), Revision: e.revision})
	}
	return out
}

func (v *View) outMarks() []Mark {
	limit := v.spreadLimit()
	var out []Mark
	for id, m := range v.marks {
		if m.sent < limit {
			out = append(out, Mark{Target: id, Incarnation: m.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(v.marks[a.Target].sent, v.marks[b.Target].sent), cmp.Compare(a.Target, b.Target))
	})
	if len(out) > v.limits.Marks {
		out = out[:v.limits.Marks]
	}
	for _, m := range out {
		v.marks[m.Target].sent++
	}
	return out
}

// News is what of a digest was not known before.
type News struct {
	// Head is set when the sender knows of a later revision than this router did.
	Head ident.Revision
	// Era is set when the sender has heard of a later era of the store.
	Era table.Era
	// SendWhole is set when the sender asks for the whole list of members.
	SendWhole bool
}

// Incoming merges a digest from a peer. Hearing from a router shows nothing of
// its state but what the digest itself says.
func (v *View) Incoming(now time.Time, d Digest) News {
	var news News
	for _, m := range d.Members {
		v.mergeMember(now, m)
	}
	for _, m := range d.Marks {
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
		news.Head = d.Head
	}
	if d.Era > v.era {
		v.era = d.Era
		news.Era = d.Era
	}
	v.compare(d)
	news.SendWhole = d.Whole
	return news
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

// order returns the members' ids in order.
func (v *View) order() []ident.Router {
	if v.sorted == nil {
		v.sorted = slices.Sorted(maps.Keys(v.members))
	}
	return v.sorted
}

const bitsPerByte = 8

// inForce marks the members that are known to have the head in force; nothing where members do not tell.
func (v *View) inForce() []byte {
	if v.members[v.self].revision == 0 {
		return nil
	}
	ids := v.order()
	marks := make([]byte, (len(ids)+bitsPerByte-1)/bitsPerByte)
	for i, id := range ids {
		if v.members[id].revision >= v.head {
			marks[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return marks
}

// mergeInForce takes in who has a revision in force, from a router with the same members.
func (v *View) mergeInForce(head ident.Revision, marks []byte) {
	for i, id := range v.order() {
		if i/bitsPerByte >= len(marks) {
			return
		}
		e := v.members[id]
		if marks[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 && e.revision < head && id != v.self {
			e.revision = head
		}
	}
}

// compare asks for the whole list of members when hashes keep differing.
func (v *View) compare(d Digest) {
	if d.MembersHash == v.hash {
		v.mismatches = 0
		return
	}
	v.mismatches++
	if v.mismatches >= wholeAfter {
		v.mismatches = 0
		v.wantWhole = true
	}
}
