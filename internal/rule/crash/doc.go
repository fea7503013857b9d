// Package crash identifies what requests have in common that crash the targets which run them, from
// the crashes that routers observe, and quarantines the requests. A trait of requests may be the
// cause: the whole request, which callers retry, or a part of its prompt.
//
// It has no goroutines, locks or I/O. Callers pass the time.
package crash
