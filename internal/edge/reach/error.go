package reach

import "valescale/internal/plat/fault"

// Kind is the kind of an error of this package.
type Kind string

const (
	// Connect means that no connection to the target could be made on any path.
	Connect Kind = "connect"
	// NoPeer means that no peer accepted a tunnel.
	NoPeer Kind = "no_peer"
	// Rejected means that a peer rejected a tunnel, because it is stopping, overloaded or cut off
	// itself, or does not have the target.
	Rejected Kind = "rejected"
	// Unsure means that a peer could not connect to the target, and does not know of any target that it
	// reaches.
	Unsure Kind = "unsure"
	// UnsureRefused means the same of a peer that was refused: as far as it can tell, nothing listens there.
	UnsureRefused Kind = "unsure_refused"
	// Unreachable means that a peer which reaches other targets could not connect to the target.
	Unreachable Kind = "unreachable"
	// Refused means that nothing listens at the target's address according to a peer.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
