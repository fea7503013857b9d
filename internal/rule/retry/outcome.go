package retry

// Outcome is what a caller is told about its request.
type Outcome string

const (
	// Done means that the target's whole answer is given.
	Done Outcome = "done"
	// NotRun means that no target has run the request or will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Step is how far an attempt got.
type Step int

const (
	// Placing is before any target was chosen.
	Placing Step = iota + 1
	// Dialing is before a connection to the target was there.
	Dialing
	// Sending is after the first byte of the request may have left.
	Sending
	// Refused is an answer that the target's contract says means "not run".
	Refused
	// Answering is after the answer's first byte came.
	Answering
	// Answered is after the whole answer came.
	Answered
)

// Repeat says how often a request may run.
type Repeat string

const (
	// Safe requests may run again at any time.
	Safe Repeat = "safe"
	// Never requests run at most once.
	Never Repeat = "never"
	// Unstarted requests may be sent again only when the first sending did not run.
	Unstarted Repeat = "unstarted"
)

// OutcomeOf is what is true of one attempt that ended at a step.
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

// Worse joins the outcomes of two attempts at one request: it did not run only
// if neither did.
func Worse(a, b Outcome) Outcome {
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

// MaySend reports whether a request may be sent again after an attempt that ended
// at a step. Nothing is sent again once the caller has part of an answer.
func MaySend(repeat Repeat, step Step, callerHasBytes bool) bool {
	if callerHasBytes || step == Answered {
		return false
	}
	if OutcomeOf(step) == NotRun {
		return true
	}
	return repeat == Safe
}

// Free reports whether trying again after a step puts no load on targets, so that
// it need not come out of the budget: nothing has reached a target yet.
func Free(step Step) bool { return step == Placing || step == Dialing }
