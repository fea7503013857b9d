package relay

import (
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/rule/retry"
)

// Kind tells this package's errors apart.
type Kind string

const (
	// Connect means that no connection to the target came about.
	Connect Kind = "connect"
	// Exhausted means that this box has no descriptor, port or memory left for a connection,
	// which says nothing of the target.
	Exhausted Kind = "exhausted"
	// HeldUp means that this router noticed too late that its time to connect was over, so that it
	// cannot tell whether the target would have answered.
	HeldUp Kind = "held_up"
	// Broken means that the connection broke, or the target was too slow.
	Broken Kind = "broken"
	// Framing means that the answer's end cannot be told from a cut.
	Framing Kind = "framing"
	// Crossed means that the answer names another attempt.
	Crossed Kind = "crossed"
	// TooLarge means that the answer exceeds the limit.
	TooLarge Kind = "too_large"
	// BadToken means that a resume token is not one that this fleet gave to this workspace.
	BadToken Kind = "bad_token"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// failure joins an error with the step at which the attempt ended.
type failure struct {
	error
	step retry.Step
}

// Unwrap returns the error without its step.
func (f *failure) Unwrap() error { return f.error }

func newFailure(op string, kind Kind, step retry.Step, err error) error {
	return &failure{error: fault.New(op, kind, err), step: step}
}

// HeldUpAfter is how late the end of a time-out may be noticed before this router counts as held up
// itself: frozen, or short of processor time.
const HeldUpAfter = 100 * time.Millisecond

// dialKind tells what this box lacks from a target that cannot be reached, given how long after
// the time to connect a dial failed.
func dialErrorKind(err error, late time.Duration) Kind {
	switch {
	case fault.OwnLack(err):
		return Exhausted
	case late > HeldUpAfter:
		return HeldUp
	default:
		return Connect
	}
}

// Blameless reports whether an attempt failed for what this router lacks or noticed late, so
// that its target is not to be blamed.
func Blameless(err error) bool {
	kind := fault.KindOf[Kind](err)
	return kind == Exhausted || kind == HeldUp
}

// StepOf returns how far an attempt got; an error without a step counts as sent.
func StepOf(err error) retry.Step {
	var f *failure
	if errors.As(err, &f) {
		return f.step
	}
	return retry.Sending
}
