package quota

import (
	"time"
)

// Rate is a number of requests per second.
type Rate float64

// Bucket is the fleet-wide token bucket of a workspace. It is held by the workspace's home.
type Bucket struct {
	rate       Rate
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a full bucket that holds at most burst tokens.
func NewBucket(now time.Time, rate Rate, burst int) *Bucket {
	return &Bucket{rate: rate, burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// NewColdBucket returns an empty bucket, for a home that has just taken over a workspace
// without the state of the previous home. Because it starts without tokens, two routers that
// both act as the home of a workspace for d seconds grant at most rate*d tokens too many.
func NewColdBucket(now time.Time, rate Rate, burst int) *Bucket {
	b := NewBucket(now, rate, burst)
	b.tokens = 0
	return b
}

// Set changes the rate and the burst. Tokens above the new burst are discarded.
func (b *Bucket) Set(now time.Time, rate Rate, burst int) {
	b.refill(now)
	b.rate = rate
	b.burst = float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// Grant takes up to want tokens. If the bucket is empty it returns zero and the time until
// the next token is available.
func (b *Bucket) Grant(now time.Time, want int) (granted int, retryAfter time.Duration) {
	b.refill(now)
	granted = min(want, int(b.tokens))
	if granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	if b.rate <= 0 {
		return 0, time.Minute
	}
	missing := 1 - b.tokens
	return 0, time.Duration(missing / float64(b.rate) * float64(time.Second))
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*float64(b.rate), b.burst)
}

// Allowance is the number of a workspace's tokens that an edge router holds between two
// grants of the home.
type Allowance struct {
	tokens      int
	expiresAt   time.Time
	deniedUntil time.Time
	// requests counts the requests since measuredSince, to size the next token request.
	requests      int
	measuredSince time.Time
	// localUntil is the end of the period covered by the tokens that GrantLocally added last.
	localUntil time.Time
}

// grantTTL is the time after which unused granted tokens expire, so that an idle edge
// router does not hoard them.
const grantTTL = 2 * time.Second

// maxTokenRequest is the maximum number of tokens requested from a home at once.
const maxTokenRequest = 64

// Take counts a request and takes one token. It reports whether one was available.
func (a *Allowance) Take(now time.Time) bool {
	if a.measuredSince.IsZero() {
		a.measuredSince = now
	}
	a.requests++
	if a.tokens == 0 || now.After(a.expiresAt) {
		return false
	}
	a.tokens--
	return true
}

// Denied reports whether the home has denied tokens and the delay that it returned has not
// elapsed yet. It also returns the remaining delay.
func (a *Allowance) Denied(now time.Time) (time.Duration, bool) {
	if now.Before(a.deniedUntil) {
		return a.deniedUntil.Sub(now), true
	}
	return 0, false
}

// RequestSize returns the number of tokens to request: those that this edge router's own traffic
// uses in about half a second.
func (a *Allowance) RequestSize(now time.Time) int {
	elapsed := now.Sub(a.measuredSince).Seconds()
	if elapsed < 0.1 {
		return 1
	}
	requestsPerSecond := float64(a.requests) / elapsed
	if elapsed > 2 {
		a.measuredSince, a.requests = now, 0
	}
	return min(max(int(requestsPerSecond/2), 1), maxTokenRequest)
}

// RecordGrant records the home's response. It takes no token: the request for which the grant
// was made takes its own with Take.
func (a *Allowance) RecordGrant(now time.Time, tokens int, retryAfter time.Duration) {
	if tokens == 0 {
		a.deniedUntil = now.Add(retryAfter)
		return
	}
	if now.After(a.expiresAt) {
		a.tokens = 0
	}
	a.tokens += tokens
	a.expiresAt = now.Add(grantTTL)
}

// GrantLocally adds this edge router's equal share of the rate while the home is unreachable.
func (a *Allowance) GrantLocally(now time.Time, rate Rate, routers int) {
	if now.Before(a.localUntil) {
		return
	}
	share := float64(rate) / float64(max(routers, 1))
	periodSeconds := max(1, 1/max(share, 0.001))
	a.tokens = max(int(share*periodSeconds), 1)
	a.localUntil = now.Add(time.Duration(periodSeconds * float64(time.Second)))
	a.expiresAt = a.localUntil
}
