package feed

import "valescale/internal/plat/fault"

// Kind is the kind of an error of this package.
type Kind string

const (
	// Stale means that a peer's replica is too old to be used.
	Stale Kind = "stale"
	// Alone means that this router has no peer to read from.
	Alone Kind = "alone"
	// Empty means that a peer has not loaded all tables yet.
	Empty Kind = "empty"
	// Unreachable means that a peer did not respond.
	Unreachable Kind = "unreachable"
)

// Error is an error of this package.
type Error = fault.Error[Kind]
