package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// State is the state of a router in the membership view. Of two states with the same sequence
// number the higher one wins.
type State int

const (
	// Live routers serve requests and take part in gossip.
	Live State = iota + 1
	// Suspect routers did not respond to at least one peer.
	Suspect
	// Leaving routers have announced that they stop; the state is final for their incarnation.
	Leaving
	// Dead routers were suspect and did not refute it in time, or were leaving and did not respond.
	Dead
)

// String returns the name of the state that operators see.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is the record of one router.
type Member struct {
	ID          ident.Router
	Addr        string
	Zone        ident.Zone
	Region      ident.Region
	Incarnation ident.Incarnation
	// Cores is the CPU capacity of the member's box, or zero if the member has not reported it.
	Cores ident.Cores
	State State
	// Seq orders the updates that a member sends about itself within one incarnation.
	Seq uint64
}

// Hash returns the short form of the member's id that acknowledgements contain.
func (m Member) Hash() uint32 { return m.ID.Hash() }

// Seed returns the random seed of the member's process. It differs between members and between the
// incarnations of one member.
func (m Member) Seed() uint64 { return uint64(m.ID.Hash())<<32 | uint64(m.Incarnation)&0xffffffff }

// stateHash returns a hash of the member's id, incarnation, sequence number and state.
func (m Member) stateHash() uint64 {
	h := ident.Mix(xxhash.Sum64String(string(m.ID)), uint64(m.Incarnation))
	return ident.Mix(h, m.Seq<<3|uint64(m.State))
}

// newer reports whether an update replaces the known state.
func (m Member) newer(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if known.State == Leaving && m.State != Dead {
		// Leaving is final within an incarnation.
		return m.State == Leaving && m.Seq > known.Seq
	}
	if m.Seq != known.Seq {
		return m.Seq > known.Seq
	}
	return m.State > known.State
}

// firstSeq is the sequence number of the first state that a member reports of itself.
const firstSeq = 1

// memberEntry is a member with the progress of sending its updates to peers.
type memberEntry struct {
	Member
	revision ident.Revision
	// listed is set while the only source for the member is a list of boxes.
	listed bool
	// changed is the time at which this router received the state.
	changed time.Time
	// sent and ackSent count how often the update and the revision were sent to peers.
	sent    int
	ackSent int
	// pressure is the pressure that the router reported last, at pressureAt.
	pressure   Pressure
	pressureAt time.Time
}
