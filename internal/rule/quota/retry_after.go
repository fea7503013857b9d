package quota

import (
	"sync"
	"time"
)

const (
	// minRetryAfter is the minimum Retry-After delay: several round trips.
	minRetryAfter = 200 * time.Millisecond
	// MaxRetryAfter is the maximum Retry-After delay: longer than callers wait for interactive
	// answers.
	MaxRetryAfter = 30 * time.Second
	// defaultRetryAfter is the Retry-After delay while no rate has been measured, as after a start.
	// A rate is available when the delay has elapsed.
	defaultRetryAfter = time.Second
	// retryCapacityRatio is the share of the freed capacity that Retry-After delays assign to
	// rejected requests. The rest is left to new requests.
	retryCapacityRatio = 0.5
)

// RetryDelays assigns Retry-After delays to rejected requests. Each request receives a retry time of
// its own, later than those of all requests rejected before, at intervals that match the
// rate at which capacity is freed. With equal delays the retries would arrive together and
// be rejected again.
type RetryDelays struct {
	// next is the earliest retry time that has not been assigned.
	next time.Time
}

// Next returns the Retry-After delay of one rejected request. perSecond is the number of
// requests served per second, and queue the time to serve those that are waiting.
func (r *RetryDelays) Next(now time.Time, perSecond float64, queue time.Duration) time.Duration {
	if perSecond <= 0 {
		return defaultRetryAfter
	}
	earliest := now.Add(max(queue, minRetryAfter))
	if r.next.Before(earliest) {
		r.next = earliest
	}
	delay := min(r.next.Sub(now), MaxRetryAfter)
	r.next = now.Add(delay + time.Duration(float64(time.Second)/(retryCapacityRatio*perSecond)))
	return delay
}

// minRequestSize is the size in bytes by which a request of unknown size counts.
const minRequestSize = 64 << 10

// SizeDelays assigns Retry-After delays to requests for which a box has no memory, by their size. It may be used
// concurrently.
type SizeDelays struct {
	mu     sync.Mutex
	delays RetryDelays
}

// Next returns the delay of a request of the given size in bytes, which may be negative if it is unknown, while memory
// is released at the given rate in bytes per second.
func (d *SizeDelays) Next(now time.Time, releasedPerSecond float64, size int64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delays.Next(now, releasedPerSecond/float64(max(size, minRequestSize)), 0)
}
