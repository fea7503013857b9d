package retry

// Outcome states whether a request ran, as reported to its caller.
type Outcome string

const (
	// Done means that the target's complete answer was received.
	Done Outcome = "done"
	// NotRun means that no target has run the request and none will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Step is the step at which an attempt ended.
type Step int

const (
	// Placing is the choice of a target; none has been selected yet.
	Placing Step = iota + 1
	// Dialing is the connection attempt; no connection to the target exists yet.
	Dialing
	// Sending begins when the first byte of the request may have been sent.
	Sending
	// Refused is an answer with a status that the service's contract defines as "not run".
	Refused
	// Answering begins when the first byte of the answer has been received.
	Answering
	// Answered is reached when the complete answer has been received.
	Answered
)

// Repeat states whether a request may run more than once.
type Repeat string

const (
	// Safe requests may run any number of times.
	Safe Repeat = "safe"
	// Never requests run at most once.
	Never Repeat = "never"
	// Unstarted requests may be sent again only if the previous attempt did not run.
	Unstarted Repeat = "unstarted"
)

// OutcomeOf returns the outcome of a single attempt that ended at the given step.
func OutcomeOf(step Step) Outcome {
	switch step {
	case Placing, Dialing, Refused:
		return NotRun
	case Answered:
		return Done
	default:
		return Unknown
	}
}

// CombineOutcomes combines the outcomes of two attempts at the same request: the request did not run
// only if neither attempt did. An empty a stands for no earlier attempt.
func CombineOutcomes(a, b Outcome) Outcome {
	switch {
	case a == "":
		return b
	case a == Done || b == Done:
		return Done
	case a == Unknown || b == Unknown:
		return Unknown
	default:
		return NotRun
	}
}

// MaySend reports whether a request may be sent again after an attempt that ended at the
// given step. A request is not retried once its caller has received part of an answer.
func MaySend(repeat Repeat, step Step, callerHasBytes bool) bool {
	if callerHasBytes || step == Answered {
		return false
	}
	if OutcomeOf(step) == NotRun {
		return true
	}
	return repeat == Safe
}

// IsFree reports whether a retry after the given step need not be charged to the budget: the
// attempt sent nothing to a target, so that it put no load on one.
func IsFree(step Step) bool { return step == Placing || step == Dialing }
