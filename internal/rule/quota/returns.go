package quota

import "time"

const (
	// minReturn is the soonest that a caller is asked to come back: some round trips.
	minReturn = 200 * time.Millisecond
	// MaxReturn is the latest: longer than callers wait for interactive answers.
	MaxReturn = 30 * time.Second
	// unknownReturn is what callers are told while no rate is known, as after a start; by then it is.
	unknownReturn = time.Second
	// returnShare is the part of the room that comes back which callers who were refused
	// are told to come back for; the rest is for those who come for the first time.
	returnShare = 0.5
)

// Returns are the times at which refused callers are told to come back. Each gets one of
// its own, after those of all who were refused before, as far apart as room comes back:
// callers who all came back after the same time would be refused again together.
type Returns struct {
	// next is the first time that nobody was told.
	next time.Time
}

// Tell returns how long a caller is asked to stay away, given how many requests a second
// find room and how long those that wait will take.
func (r *Returns) Tell(now time.Time, perSecond float64, queue time.Duration) time.Duration {
	if perSecond <= 0 {
		return unknownReturn
	}
	soonest := now.Add(max(queue, minReturn))
	if r.next.Before(soonest) {
		r.next = soonest
	}
	after := min(r.next.Sub(now), MaxReturn)
	r.next = now.Add(after + time.Duration(float64(time.Second)/(returnShare*perSecond)))
	return after
}
