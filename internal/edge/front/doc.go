// Package front serves callers: it authenticates them, validates their input, evaluates the policy,
// and returns the complete answer to each request, or an error that states correctly whether the
// request ran.
//
// Each response has the header Valescale-Outcome with the value done, not_run or unknown. A stream
// has it as a trailer, and ends with the end marker of the protocol or with an error event.
package front
