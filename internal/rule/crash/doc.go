// Package crash identifies requests that crash the targets that run them, from the crashes that
// routers observe, and quarantines them.
//
// It has no goroutines, locks or I/O. Callers pass the time.
package crash
