package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// State is what is known of a router; a higher state wins within one sequence number.
type State int

const (
	// Live routers take part.
	Live State = iota + 1
	// Suspect routers did not answer somebody.
	Suspect
	// Leaving routers have said that they stop; this lasts for their incarnation.
	Leaving
	// Dead routers were suspect for too long without saying otherwise.
	Dead
)

// String returns the state in the form that operators see.
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

// Member is one router.
type Member struct {
	ID          ident.Router
	Addr        string
	Zone        ident.Zone
	Region      ident.Region
	Incarnation ident.Incarnation
	// Cores is what the member's box can carry; zero if it has not said.
	Cores ident.Cores
	State State
	// Seq orders what the member says of itself within an incarnation.
	Seq uint64
}

// Hash stands for a member's id in acknowledgements.
func (m Member) Hash() uint32 { return m.ID.Hash() }

// Seed starts the random choices of a member's process, different from those of other
// members and of its own earlier processes.
func (m Member) Seed() uint64 { return uint64(m.ID.Hash())<<32 | uint64(m.Incarnation)&0xffffffff }

// digest is the same for two members in the same state.
func (m Member) digest() uint64 {
	h := ident.Mix(xxhash.Sum64String(string(m.ID)), uint64(m.Incarnation))
	return ident.Mix(h, m.Seq<<3|uint64(m.State))
}

// newer reports whether an update replaces what is known.
func (m Member) newer(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if known.State == Leaving && m.State != Dead {
		// Leaving is never taken back within an incarnation.
		return m.State == Leaving && m.Seq > known.Seq
	}
	if m.Seq != known.Seq {
		return m.Seq > known.Seq
	}
	return m.State > known.State
}

// firstSeq is the sequence number of what a member says of itself first.
const firstSeq = 1

// memberEntry is a member with how news of it has been passed on.
type memberEntry struct {
	Member
	revision ident.Revision
	// listed is set while the member is known from a list alone.
	listed bool
	// changed is when this router learned of the state.
	changed time.Time
	// sent and ackSent count how often the update and the revision were passed on.
	sent    int
	ackSent int
}
