package relay

import (
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/rule/retry"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// Connect means that no connection to the target could be made.
	Connect Kind = "connect"
	// Exhausted means that this box has no descriptor, port or memory left for a connection. It is
	// no failure of the target.
	Exhausted Kind = "exhausted"
	// HeldUp means that this router detected the end of the dial timeout too late to determine
	// whether the target would have responded.
	HeldUp Kind = "held_up"
	// Broken means that the connection broke, or the target was too slow.
	Broken Kind = "broken"
	// Framing means that the end of the answer cannot be distinguished from a broken connection.
	Framing Kind = "framing"
	// Crossed means that the answer is to another attempt.
	Crossed Kind = "crossed"
	// TooLarge means that the answer exceeds the limit.
	TooLarge Kind = "too_large"
	// NoMemory means that the box has no memory for the answer.
	NoMemory Kind = "out_of_memory"
	// BadToken means that a resume token was not issued by this fleet to this workspace.
	BadToken Kind = "bad_token"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// failure is an error with the step at which the attempt ended.
type failure struct {
	error
	step retry.Step
}

// Unwrap returns the error without its step.
func (f *failure) Unwrap() error { return f.error }

func newFailure(op string, kind Kind, step retry.Step, err error) error {
	return &failure{error: fault.New(op, kind, err), step: step}
}

// LocalDelayThreshold is the delay in detecting the end of a timeout above which this router itself
// counts as delayed: suspended, or short of processor time.
const LocalDelayThreshold = 100 * time.Millisecond

// dialErrorKind distinguishes exhausted resources and delays of this box from an unreachable
// target. The argument late is how long after the dial timeout the dial failed.
func dialErrorKind(err error, late time.Duration) Kind {
	switch {
	case fault.IsLocalResourceError(err):
		return Exhausted
	case late > LocalDelayThreshold:
		return HeldUp
	default:
		return Connect
	}
}

// IsLocalFailure reports whether an attempt failed because of exhausted resources or a delay of this
// router, which is no failure of the target.
func IsLocalFailure(err error) bool {
	kind := fault.KindOf[Kind](err)
	return kind == Exhausted || kind == HeldUp
}

// StepOf returns how far an attempt got. An error without a step counts as sent.
func StepOf(err error) retry.Step {
	var f *failure
	if errors.As(err, &f) {
		return f.step
	}
	return retry.Sending
}
