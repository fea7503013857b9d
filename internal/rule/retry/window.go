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

// windowSteps is into how many parts a window is counted.
const windowSteps = 20

// extraShare is the part of the extra retries that routers hand out. They may disagree
// for some seconds on how many they are.
const extraShare = 0.8

// Window is one router's part of an allowance. Each router keeps the ratio for its own
// requests and takes an equal part of the extra, so that the sum over routers stays
// within the allowance without any messages.
type Window struct {
	allowance Allowance
	step      time.Duration
	started   time.Time
	// at is the number of the step that is counted now.
	at       int64
	requests [windowSteps + 1]int
	retries  [windowSteps + 1]int
}

// NewWindow returns an empty window. An earlier process of this router may have used
// its part of the extra a moment ago, so that grows from nothing over the first span.
func NewWindow(now time.Time, allowance Allowance) *Window {
	w := &Window{allowance: allowance, step: max(allowance.Span/windowSteps, time.Millisecond), started: now}
	w.at = w.number(now)
	return w
}

func (w *Window) number(now time.Time) int64 { return int64(now.Sub(w.started) / w.step) }

// slot clears the steps that have passed and returns the present one.
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
	requests, retries := 0, 1
	for i := range w.requests {
		// The oldest step is only partly within the window: its retries count, its requests do not.
		retries += w.retries[i]
		if i != (current+1)%len(w.requests) {
			requests += w.requests[i]
		}
	}
	grown := min(float64(now.Sub(w.started))/float64(w.allowance.Span), 1)
	extra := extraShare * grown * w.allowance.Extra / float64(max(routers, 1))
	if float64(retries) > w.allowance.Ratio*float64(requests)+extra {
		return false
	}
	w.retries[current]++
	return true
}
