package retry

import "time"

// Budget lets retries be at most a share of the requests of one router. Since
// each router keeps its own share, the fleet keeps it too, without messages.
type Budget struct {
	share  float64
	floor  float64
	tokens float64
	limit  float64
	at     time.Time
}

// NewBudget returns a budget of a share of requests plus floor retries a second; it
// starts with ten seconds' worth of the floor.
func NewBudget(now time.Time, share, floor float64) *Budget {
	const seconds = 10
	limit := max(floor*seconds, 1)
	return &Budget{share: share, floor: floor, tokens: limit, limit: limit, at: now}
}

// Request notes a caller's request.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.share, b.limit)
}

// Retry uses one token if there is one.
func (b *Budget) Retry(now time.Time) bool {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.at = now
		b.tokens = min(b.tokens+passed*b.floor, b.limit)
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
