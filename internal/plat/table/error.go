package table

import (
	"net"

	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
)

// Kind classifies errors of the table service.
type Kind string

const (
	// Conflict means that a check failed and nothing was written.
	Conflict Kind = "conflict"
	// Missing means that the row does not exist.
	Missing Kind = "missing"
	// Unavailable means that the request did not reach the service; nothing was written.
	Unavailable Kind = "unavailable"
	// Unknown means that there was no valid response; the write may have taken effect.
	Unknown Kind = "unknown"
	// Compacted means that the requested part of the change log no longer exists.
	Compacted Kind = "compacted"
	// Rejected means that the service rejects this request permanently; a retry would not succeed.
	Rejected Kind = "refused"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of an error of this package, or the empty kind.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// KindOfCallError returns the kind of a call that failed without a response. Only after a failure to
// connect it is certain that nothing was written.
func KindOfCallError(err error) Kind {
	var failure *net.OpError
	if errors.As(err, &failure) && failure.Op == "dial" {
		return Unavailable
	}
	return Unknown
}
