// Package entry serves callers by routes of host and path prefix. Any method, path,
// query and body goes through unchanged; the route says what may be repeated, how
// often and for how long.
//
// Each request ends in one of four ways: the target's whole answer, an answer that is
// visibly cut off, a refusal that says "not run", and when to come back if that can
// help, or an error that leaves open whether the request ran.
package entry
