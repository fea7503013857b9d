package cmds

import (
	"valescale/internal/plat/fault"
)

// Exit statuses.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitConflict means that the same documents were changed by another change first.
	ExitConflict = 3
	// ExitNotAccepted means that a change is recorded but not yet in force on every router.
	ExitNotAccepted = 4
	// ExitInvalid means that documents or settings are invalid. Nothing was changed.
	ExitInvalid = 5
	// ExitDiffers means that documents differ from those in force.
	ExitDiffers = 6
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Unreadable is the kind of errors from files that cannot be read or have invalid content.
	Unreadable Kind = "unreadable"
	// Refused is the kind of errors from calls to a router that failed or were rejected.
	Refused Kind = "refused"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
