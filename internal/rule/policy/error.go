package policy

import "valescale/internal/plat/fault"

// Kind tells this package's errors apart.
type Kind string

const (
	// Syntax means that a document cannot be read.
	Syntax Kind = "syntax"
	// Invalid means that a value is outside what is allowed.
	Invalid Kind = "invalid"
	// Program means that a policy's program does not compile or costs too much.
	Program Kind = "program"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
