package relay

import (
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

func failed(op string, kind Kind, step retry.Step, err error) error {
	return &failure{error: fault.New(op, kind, err), step: step}
}

// dialKind tells what this box lacks from a target that cannot be reached.
func dialKind(err error) Kind {
	if fault.OwnLack(err) {
		return Exhausted
	}
	return Connect
}

// StepOf returns how far an attempt got; an error without a step counts as sent.
func StepOf(err error) retry.Step {
	var f *failure
	if errors.As(err, &f) {
		return f.step
	}
	return retry.Sending
}
