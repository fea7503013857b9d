package fault

import (
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// ownLack are the errors of calls to others that tell of this box alone: no descriptor, port or
// memory is left for a connection.
var ownLack = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// OwnLack reports whether a call failed for what this box lacks itself, so that it says nothing
// of whoever was called.
func OwnLack(err error) bool {
	return slices.ContainsFunc(ownLack, func(lack error) bool { return errors.Is(err, lack) })
}
