// Package asleep returns the times that a box reads after it has been suspended: the wall clock has
// advanced, the monotonic clock has not. No function of the standard library returns such a time.
package asleep
