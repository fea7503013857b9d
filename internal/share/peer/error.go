package peer

import "valescale/internal/plat/fault"

// Kind tells this package's errors apart.
type Kind string

const (
	// Unreachable means that the peer did not answer in time.
	Unreachable Kind = "unreachable"
	// Unlisted means that there is no such router.
	Unlisted Kind = "unlisted"
	// Foreign means that the other side is not who it says.
	Foreign Kind = "foreign"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
