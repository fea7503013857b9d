package cmds

import (
	"valescale/internal/plat/fault"
)

// Exit statuses.
const (
	// Success means that what was asked for is done.
	Success = 0
	// Failure means that it could not be done.
	Failure = 1
	// Usage means that the command line is wrong.
	Usage = 2
	// Conflicted means that somebody else changed the same documents first.
	Conflicted = 3
	// NotAccepted means that a change is recorded but not in force everywhere yet.
	NotAccepted = 4
	// Mistakes means that documents or settings have mistakes; nothing was changed.
	Mistakes = 5
	// Differs means that documents differ from those in force.
	Differs = 6
)

// Kind tells this package's errors apart.
type Kind string

const (
	// Unreadable means that a file cannot be read.
	Unreadable Kind = "unreadable"
	// Refused means that the router did not do what was asked.
	Refused Kind = "refused"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
