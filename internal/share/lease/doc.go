// Package lease keeps at most one holder of a named task at a time, as far as
// time can tell, and gives each holder an epoch that only grows.
//
// A holder that is paused may wake and believe that it still holds the lease.
// Whatever is done under a lease therefore carries the epoch, which targets that
// check can refuse, and to those that do not check only wanted end states are sent.
package lease
