package retry

import "time"

// Allowance limits the retries of one service's requests by the whole fleet.
type Allowance struct {
	// Ratio is the number of retries permitted per request within a window.
	Ratio float64
	// Extra is the number of retries that the whole fleet may send in addition per window.
	Extra float64
	// Span is the length of the window. The window slides: the limit holds for every interval
	// of this length.
	Span time.Duration
}

const (
	// slotsPerWindow is the number of slots that a window is divided into. Requests of the
	// oldest slot are not counted, so that up to a twentieth of the ratio's retries stay
	// unused.
	slotsPerWindow = 20
	// minSlotLength is the minimum length of a slot, for any configured Span.
	minSlotLength = time.Millisecond
	// extraUsableRatio is the part of Extra that routers use. Their membership views may differ
	// for some seconds: the fleet stays within Extra while each router counts at least four
	// fifths of the routers.
	extraUsableRatio = 0.8
)

// Window enforces one router's share of an allowance. Each router applies the ratio to its
// own requests and uses an equal share of the extra retries, so that the fleet stays within
// the allowance without coordination.
type Window struct {
	allowance Allowance
	// slotLength is the length of one slot.
	slotLength time.Duration
	started    time.Time
	// current is the number of the current slot.
	current int64
	// requests and retries are counted per slot. The ring has one slot more than a window,
	// because the current slot is incomplete.
	requests [slotsPerWindow + 1]int
	retries  [slotsPerWindow + 1]int
}

// NewWindow returns an empty window. It uses no extra retries before the first window has passed,
// because an earlier process of this router may just have used its share.
func NewWindow(now time.Time, allowance Allowance) *Window {
	w := &Window{allowance: allowance, slotLength: max(allowance.Span/slotsPerWindow, minSlotLength), started: now}
	w.current = w.slotNumber(now)
	return w
}

// slotNumber returns the number of the slot that contains now, counted from the creation of the
// window.
func (w *Window) slotNumber(now time.Time) int64 { return int64(now.Sub(w.started) / w.slotLength) }

// advance moves the ring to now, clears the slots that it reuses, and returns the index of
// the current slot.
func (w *Window) advance(now time.Time) int {
	slotNumber := w.slotNumber(now)
	const ringSize = int64(slotsPerWindow + 1)
	for w.current < slotNumber {
		w.current++
		if slotNumber-w.current < ringSize {
			w.requests[w.current%ringSize] = 0
			w.retries[w.current%ringSize] = 0
		}
	}
	return int(w.current % ringSize)
}

// Request counts a request of a caller.
func (w *Window) Request(now time.Time) { w.requests[w.advance(now)]++ }

// Retry reports whether a retry is within the allowance, and counts it if so. The allowance
// is shared by the given number of routers.
func (w *Window) Retry(now time.Time, routers int) bool {
	current := w.advance(now)
	requests, retries := w.totals(current)
	if float64(retries+1) > w.limit(now, requests, routers) {
		return false
	}
	w.retries[current]++
	return true
}

// Usage is the state of one router's window for one service, for logs.
type Usage struct {
	// Requests and Retries are those of this router within the window.
	Requests int
	Retries  int
	// Limit is the number of retries that this router may use within the window.
	Limit float64
	// Routers is the number of routers that share the extra retries.
	Routers int
}

// Usage returns the state of the window.
func (w *Window) Usage(now time.Time, routers int) Usage {
	requests, retries := w.totals(w.advance(now))
	return Usage{Requests: requests, Retries: retries, Limit: w.limit(now, requests, routers), Routers: routers}
}

// totals returns the requests and retries of the window that ends with the current slot. The
// oldest slot is only partly within the window: its retries are counted, its requests are
// not.
func (w *Window) totals(current int) (requests, retries int) {
	for i := range w.requests {
		retries += w.retries[i]
		if i != (current+1)%len(w.requests) {
			requests += w.requests[i]
		}
	}
	return requests, retries
}

// limit returns the number of retries that this router may use within the window.
func (w *Window) limit(now time.Time, requests, routers int) float64 {
	return w.allowance.Ratio*float64(requests) + w.extra(now, routers)
}

// extra returns this router's share of the extra retries.
func (w *Window) extra(now time.Time, routers int) float64 {
	if now.Sub(w.started) < w.allowance.Span {
		return 0
	}
	return extraUsableRatio * w.allowance.Extra / float64(max(routers, 1))
}
