package home

import "time"

const (
	// minRetryAfter is the soonest that a caller is asked to come back: some round trips.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the latest: longer than callers wait for interactive answers.
	maxRetryAfter = 30 * time.Second
	// unknownRetryAfter is what a home says that has just started and knows no rate yet; by
	// then it does.
	unknownRetryAfter = time.Second
	// returnShare is the part of the room that comes back which callers who were refused
	// are told to come back for; the rest is for those who come for the first time.
	returnShare = 0.5
)

// returns are the times at which refused callers are told to come back. Each gets one of
// its own, after those of all who were refused before, as far apart as room comes back:
// callers who all came back after the same time would be refused again together.
type returns struct {
	// next is the first time that nobody was told.
	next time.Time
}

// tell returns how long a caller is asked to stay away, given how many requests a second
// find room and how long those that wait will take.
func (r *returns) tell(now time.Time, perSecond float64, queue time.Duration) time.Duration {
	if perSecond <= 0 {
		return unknownRetryAfter
	}
	soonest := now.Add(max(queue, minRetryAfter))
	if r.next.Before(soonest) {
		r.next = soonest
	}
	after := min(r.next.Sub(now), maxRetryAfter)
	r.next = now.Add(after + time.Duration(float64(time.Second)/(returnShare*perSecond)))
	return after
}
