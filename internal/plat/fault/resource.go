package fault

import (
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// localResourceErrors are the errors of outgoing calls that are caused by this box alone: it has no
// file descriptor, port or memory left for a connection.
var localResourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// IsLocalResourceError reports whether a call failed because this box ran out of a local resource.
// Such an error does not indicate a fault of the called host.
func IsLocalResourceError(err error) bool {
	return slices.ContainsFunc(localResourceErrors, func(e error) bool { return errors.Is(err, e) })
}
