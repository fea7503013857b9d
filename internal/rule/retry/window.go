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
	// slots is the number of slots that are kept: those of two windows and the current one, which is
	// incomplete.
	slots = 2*slotsPerWindow + 1
	// minSlotLength is the minimum length of a slot, for any configured Span.
	minSlotLength = time.Millisecond
	// extraUsableRatio is the part of Extra that routers use. Their membership views may differ
	// for some seconds: the fleet stays within Extra while each router counts at least four
	// fifths of the routers.
	extraUsableRatio = 0.8
	// freshSlots is the number of latest slots whose requests earn fresh retries.
	freshSlots = 3
	// freshUsableRatio and savedUsableRatio are the parts of Ratio that requests earn as fresh and as saved
	// retries. The fleet uses at most 1.15 times the first, as the requests of 3 slots before a window of 20
	// count, and once the second: together 0.99 of Ratio.
	freshUsableRatio = 0.25
	savedUsableRatio = 0.7
	// minSteadyRequests is the number of requests in a window that count as steady whatever the window
	// before: those of a service that is seldom used.
	minSteadyRequests = 1
)

// Window enforces one router's share of an allowance. Each router applies the ratio to its
// own requests and uses an equal share of the extra retries, so that the fleet stays within
// the allowance without coordination.
//
// That holds only if the same callers do not earn retries twice within a window, once at a router that uses
// all of them and ends, and again at its successor or at the routers to which they go. So a part of the ratio is
// earned as fresh retries, which expire soon. The rest is saved for a window, in which targets may fail many
// requests at once. Only requests of a router that received as many in the window before earn saved retries.
type Window struct {
	allowance Allowance
	// slotLength is the length of one slot.
	slotLength time.Duration
	started    time.Time
	// current is the number of the current slot.
	current int64
	ring    [slots]slot
}

// slot contains the counts of one slot.
type slot struct {
	requests, retries int
	// fresh and saved are the parts of the retries that were paid for by either kind.
	fresh, saved float64
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

// advance moves the ring to now, clears the slots that are used again and returns the current one.
func (w *Window) advance(now time.Time) *slot {
	slotNumber := w.slotNumber(now)
	for w.current < slotNumber {
		w.current++
		if slotNumber-w.current < slots {
			w.ring[w.current%slots] = slot{}
		}
	}
	return &w.ring[w.current%slots]
}

// Request counts a request of a caller.
func (w *Window) Request(now time.Time) { w.advance(now).requests++ }

// minCredit is the credit that a retry needs, with a margin for the rounding of sums.
const minCredit = 1 - 1e-9

// HasRetry reports whether a retry is within the allowance.
func (w *Window) HasRetry(now time.Time, routers int) bool {
	w.advance(now)
	return w.fresh()+w.saved(now, routers) >= minCredit
}

// Retry reports whether a retry is within the allowance, and counts it if so. The allowance
// is shared by the given number of routers.
func (w *Window) Retry(now time.Time, routers int) bool {
	current := w.advance(now)
	fresh, saved := w.fresh(), w.saved(now, routers)
	if fresh+saved < minCredit {
		return false
	}
	fresh = min(fresh, 1)
	current.fresh += fresh
	current.saved += 1 - fresh
	current.retries++
	return true
}

// Usage is the state of one router's window for one service, for logs.
type Usage struct {
	// Requests and Retries are those of this router within the window.
	Requests int
	Retries  int
	// Steady is the number of requests that earn saved retries.
	Steady int
	// Limit is the number of retries that this router may use within the window.
	Limit float64
	// Routers is the number of routers that share the extra retries.
	Routers int
}

// Usage returns the state of the window.
func (w *Window) Usage(now time.Time, routers int) Usage {
	w.advance(now)
	window := w.sum(0, slotsPerWindow)
	return Usage{
		Requests: window.requests, Retries: window.retries, Steady: w.steady(), Routers: routers,
		Limit: float64(window.retries) + w.fresh() + w.saved(now, routers),
	}
}

// sum returns the total of a number of slots, the latest of which is the given number of slots before the current
// one.
func (w *Window) sum(before, count int64) (total slot) {
	for i := range count {
		s := w.ring[(w.current-before-i+slots)%slots]
		total.requests += s.requests
		total.retries += s.retries
		total.fresh += s.fresh
		total.saved += s.saved
	}
	return total
}

// fresh returns the fresh retries that are left.
func (w *Window) fresh() float64 {
	latest := w.sum(0, freshSlots)
	return max(freshUsableRatio*w.allowance.Ratio*float64(latest.requests)-latest.fresh, 0)
}

// saved returns the saved retries that are left, extra ones included. The oldest slot is only partly within the
// window: what was used in it counts, its requests earn none.
func (w *Window) saved(now time.Time, routers int) float64 {
	earned := savedUsableRatio * w.allowance.Ratio * float64(w.steady())
	used := w.sum(0, slotsPerWindow+1).saved
	return max(earned+w.extra(now, routers)-used, 0)
}

// steady returns the number of requests of the window that earn saved retries: as many as were received in the
// window before.
func (w *Window) steady() int {
	requests := w.sum(0, slotsPerWindow).requests
	before := w.sum(slotsPerWindow, slotsPerWindow).requests
	return min(requests, max(before, minSteadyRequests))
}

// extra returns this router's share of the extra retries.
func (w *Window) extra(now time.Time, routers int) float64 {
	if now.Sub(w.started) < w.allowance.Span {
		return 0
	}
	return extraUsableRatio * w.allowance.Extra / float64(max(routers, 1))
}
