package match

import "valescale/internal/plat/fault"

// Kind is the kind of an error of this package.
type Kind string

const (
	// Invalid means that a configuration is invalid.
	Invalid Kind = "invalid"
	// NoRoute means that no route matches the request's host and path.
	NoRoute Kind = "no_route"
	// NoWorkspace means that no workspace has the request's API key.
	NoWorkspace Kind = "no_workspace"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
