package route

import (
	"fmt"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// NoTarget means that the service has no usable target in any pool.
	NoTarget Kind = "no_target"
	// Shed means that too many requests are waiting already.
	Shed Kind = "shed"
	// BackingOff means that all usable targets of the service are in backoff for this router.
	BackingOff Kind = "backing_off"
	// TimedOut means that no target became free before the request's deadline.
	TimedOut Kind = "timed_out"
	// Limited means that the workspace exceeded its rate.
	Limited Kind = "limited"
	// CallerGone means that the caller has disconnected.
	CallerGone Kind = "gone"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RetryAfter is the cause of an error that has a Retry-After delay.
type RetryAfter struct {
	Wait time.Duration
	// Home is the router that rejected the request, or empty if none was involved. Work is the
	// shard's load as counted by it, and Held the number of this router's permits in that count.
	Home ident.Router
	Work ident.Work
	Held int
	// Throttled means that the request was rejected on the basis of the home's earlier rejections
	// of similar requests.
	Throttled bool
}

// Error returns the Retry-After delay and the home's counts.
func (r RetryAfter) Error() string {
	if r.Home == "" {
		return "retry after " + r.Wait.String()
	}
	if r.Throttled {
		return fmt.Sprintf("retry after %s: home %s rejects most requests of this class", r.Wait, r.Home)
	}
	return fmt.Sprintf("retry after %s: home %s counts %d work units and %d permits of this router", r.Wait, r.Home, r.Work, r.Held)
}
