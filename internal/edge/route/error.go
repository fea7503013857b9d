package route

import (
	"fmt"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Kind tells this package's errors apart.
type Kind string

const (
	// NoTarget means that the service has no usable target anywhere.
	NoTarget Kind = "no_target"
	// Shed means that too many wait already.
	Shed Kind = "shed"
	// BackingOff means that each usable target of the service wants no requests from this router for a while.
	BackingOff Kind = "backing_off"
	// TimedOut means that no target became free while the request could wait.
	TimedOut Kind = "timed_out"
	// Limited means that the workspace is over its rate.
	Limited Kind = "limited"
	// Gone means that the caller has gone.
	Gone Kind = "gone"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// RetryAfter is the cause of an error that says when to come back.
type RetryAfter struct {
	Wait time.Duration
	// Home is who refused, empty if nobody was asked; Work is what it counted in the
	// shard and Held this router's permits among it.
	Home ident.Router
	Work ident.Work
	Held int
	// Throttled says that the home was not asked for this request but for earlier ones
	// like it.
	Throttled bool
}

// Error says when to come back and what was counted.
func (r RetryAfter) Error() string {
	if r.Home == "" {
		return "come back in " + r.Wait.String()
	}
	if r.Throttled {
		return fmt.Sprintf("come back in %s: home %s refuses most requests like this one", r.Wait, r.Home)
	}
	return fmt.Sprintf("come back in %s: home %s counts %d work units and %d permits of this router", r.Wait, r.Home, r.Work, r.Held)
}
