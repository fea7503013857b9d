package policy

import "valescale/internal/plat/fault"

// Kind is the kind of an error of this package.
type Kind string

const (
	// Syntax means that a document cannot be parsed.
	Syntax Kind = "syntax"
	// Invalid means that a value is outside its permitted range.
	Invalid Kind = "invalid"
	// Program means that a policy's program does not compile or exceeds MaxCost.
	Program Kind = "program"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
