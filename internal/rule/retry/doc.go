// Package retry decides which requests may be retried, when, and how many.
//
// A failed attempt is classified by the step at which it failed. A request is known not to
// have run only if the attempt failed before any byte was sent, or if the target returned a
// status that its service's contract defines as "not run". A budget limits retries to a
// ratio of the requests, so that an outage does not multiply the load, whatever the number
// of routers. A circuit breaker stops requests to targets that fail most of them.
package retry
