// Package front is what callers see: it tells who they are, checks their input,
// asks the policy what is to happen, and gives each caller the whole answer to its
// own request, or says truly whether it ran.
//
// Each answer carries the header Valescale-Outcome: done, not_run or unknown. A
// stream carries it as a trailer, and ends with the protocol's end mark or with an
// error event.
package front
