package route

import (
	"time"

	"valescale/internal/plat/fault"
)

// Kind tells this package's errors apart.
type Kind string

const (
	// NoTarget means that the service has no usable target anywhere.
	NoTarget Kind = "no_target"
	// Shed means that too many wait already.
	Shed Kind = "shed"
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
}

// Error says when to come back.
func (r RetryAfter) Error() string { return "come back in " + r.Wait.String() }
