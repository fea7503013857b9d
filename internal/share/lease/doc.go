// Package lease assigns a named task to at most one holder at a time, within the limits of local
// clocks, and gives each holder an epoch that only grows.
//
// A holder that was paused may resume and still act as the holder. All work done under a lease
// therefore carries the epoch, so that targets that check it can reject an outdated holder. Targets
// that do not check it are only sent desired end states.
package lease
