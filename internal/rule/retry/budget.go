package retry

import "time"

// Budget limits the retries of one router to a ratio of its requests, plus a minimum rate.
// Because every router enforces the ratio for its own requests, the fleet as a whole stays
// within it without coordination.
type Budget struct {
	ratio        float64
	minPerSecond float64
	tokens       float64
	maxTokens    float64
	refilledAt   time.Time
}

// NewBudget returns a budget of ratio retries per request plus minPerSecond retries per
// second. It starts full and holds the tokens of ten seconds of the minimum rate, at least one.
func NewBudget(now time.Time, ratio, minPerSecond float64) *Budget {
	const burstSeconds = 10
	maxTokens := max(minPerSecond*burstSeconds, 1)
	return &Budget{ratio: ratio, minPerSecond: minPerSecond, tokens: maxTokens, maxTokens: maxTokens, refilledAt: now}
}

// Request adds the tokens that one request of a caller earns.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
}

// Retry takes one token and reports whether one was available.
func (b *Budget) Retry(now time.Time) bool {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.refilledAt = now
		b.tokens = min(b.tokens+elapsed*b.minPerSecond, b.maxTokens)
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
