// Package front serves callers: it authenticates them, validates their input, evaluates the policy,
// and returns the complete answer to each request, or an error that states correctly whether the
// request ran.
//
// Each response has the header Valescale-Outcome with the value done, not_run or unknown. A stream
// has it as a trailer after the end marker of the protocol. A stream that breaks off ends with an error event
// that contains it, and without the end of the answer.
package front
