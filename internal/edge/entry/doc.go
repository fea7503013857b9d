// Package entry serves callers. Routes are matched by host and path prefix, and any method, path,
// query and body is forwarded unchanged. The route defines whether a request may be retried, the
// number of attempts and the timeout.
//
// Each request has one of four outcomes: the complete answer of the target, an answer that is
// visibly truncated, a rejection with the outcome "not run" and a Retry-After delay if a retry can
// help, or an error that leaves open whether the request ran.
package entry
