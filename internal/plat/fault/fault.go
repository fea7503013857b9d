package fault

import "github.com/pkg/errors"

// Error is a failed operation of one package, told apart by that package's own kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, as "package.function".
	Op string
	// Kind says what a caller can do about it.
	Kind K
	// Err is the cause and may be nil.
	Err error
}

// New returns an error of a kind with a cause, which may be nil.
func New[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Newf returns an error of a kind with a formatted cause.
func Newf[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Error returns operation, kind and cause in one line.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first error of type K in a chain, or the empty kind.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
