package match

import "valescale/internal/plat/fault"

// Kind tells this package's errors apart.
type Kind string

const (
	// Invalid means that a configuration contradicts itself.
	Invalid Kind = "invalid"
	// NoRoute means that no route has the request's host and path.
	NoRoute Kind = "no_route"
	// NoWorkspace means that no workspace has the request's API key.
	NoWorkspace Kind = "no_workspace"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
