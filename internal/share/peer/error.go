package peer

import "valescale/internal/plat/fault"

// Kind classifies the errors of this package.
type Kind string

const (
	// Unreachable means that the peer did not respond in time.
	Unreachable Kind = "unreachable"
	// Unlisted means that the membership view contains no such router.
	Unlisted Kind = "unlisted"
	// Foreign means that the identity of the other side is not the one that it claims.
	Foreign Kind = "foreign"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
