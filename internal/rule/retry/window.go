package retry

import "time"

// Allowance is how many requests of one service the whole fleet may send again.
type Allowance struct {
	// Ratio is the number of retries for each request, over a window.
	Ratio float64
	// Extra is added to that for the whole fleet.
	Extra float64
	// Span is the length of the window. It slides: every span of that length counts.
	Span time.Duration
}

const (
	// windowSteps is into how many parts a window is counted. The requests of its oldest
	// part do not count, which leaves up to a twentieth of the ratio's retries unused.
	windowSteps = 20
	// leastStep bounds the length of a part from below, whatever the settings say.
	leastStep = time.Millisecond
	// extraShare is the part of the extra retries that routers hand out. They may disagree
	// for some seconds on how many they are: the sum is kept while each knows four fifths.
	extraShare = 0.8
)

// Window is one router's part of an allowance. Each router keeps the ratio for its own
// requests and takes an equal part of the extra, so that the sum over routers stays
// within the allowance without any messages.
type Window struct {
	allowance Allowance
	// step is the length of one part.
	step    time.Duration
	started time.Time
	// at is the number of the step that is counted now.
	at int64
	// requests and retries are counted by step, in a ring with one more than a window's:
	// the present step is only partly over.
	requests [windowSteps + 1]int
	retries  [windowSteps + 1]int
}

// NewWindow returns an empty window. An earlier process of this router may have used
// its part of the extra a moment ago, so that grows from nothing over the first span.
func NewWindow(now time.Time, allowance Allowance) *Window {
	w := &Window{allowance: allowance, step: max(allowance.Span/windowSteps, leastStep), started: now}
	w.at = w.number(now)
	return w
}

// number is the step of a time, counted from the window's start.
func (w *Window) number(now time.Time) int64 { return int64(now.Sub(w.started) / w.step) }

// slot clears what was counted a ring ago and returns the present step's place.
func (w *Window) slot(now time.Time) int {
	number := w.number(now)
	const slots = int64(windowSteps + 1)
	for w.at < number {
		w.at++
		if number-w.at < slots {
			w.requests[w.at%slots] = 0
			w.retries[w.at%slots] = 0
		}
	}
	return int(w.at % slots)
}

// Request notes a caller's request.
func (w *Window) Request(now time.Time) { w.requests[w.slot(now)]++ }

// Retry uses one retry if there is one, given how many routers share the allowance.
func (w *Window) Retry(now time.Time, routers int) bool {
	current := w.slot(now)
	requests, retries := w.sums(current)
	if float64(retries+1) > w.allowance.Ratio*float64(requests)+w.extra(now, routers) {
		return false
	}
	w.retries[current]++
	return true
}

// sums are the requests and retries of the window that ends with the present slot. The
// oldest step is only partly within it: its retries count, its requests do not.
func (w *Window) sums(current int) (requests, retries int) {
	for i := range w.requests {
		retries += w.retries[i]
		if i != (current+1)%len(w.requests) {
			requests += w.requests[i]
		}
	}
	return requests, retries
}

// extra is this router's part of the extra retries, which grows over the first span.
func (w *Window) extra(now time.Time, routers int) float64 {
	grown := min(float64(now.Sub(w.started))/float64(w.allowance.Span), 1)
	return extraShare * grown * w.allowance.Extra / float64(max(routers, 1))
}
