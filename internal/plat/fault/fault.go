package fault

import "github.com/pkg/errors"

// Error is the error of a failed operation; K is the type of the package's error kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, in the form "package.Function".
	Op string
	// Kind classifies the error by how a caller can handle it.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// New returns an error of the given kind; the cause may be nil.
func New[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Newf returns an error of the given kind with a formatted cause.
func Newf[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error[K] in the chain of err, or the empty kind.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
