// Package retry decides what may be sent again, when, and how much of it.
//
// A failure is known by the step at which it happened. Only a failure before any
// byte left, or one that the target's contract calls a refusal, means that the
// request did not run. A budget holds retries to a share of the requests, so that
// an outage is not multiplied however many routers see it, and a breaker keeps
// requests from targets whose answers show them to be broken.
package retry
