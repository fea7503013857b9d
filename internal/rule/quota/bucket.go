package quota

import (
	"time"
)

// Rate is a number of requests a second.
type Rate float64

// Bucket is a workspace's fleet-wide token bucket at its home.
type Bucket struct {
	rate   Rate
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket; burst is the most tokens that it holds.
func NewBucket(now time.Time, rate Rate, burst int) *Bucket {
	return &Bucket{rate: rate, burst: float64(burst), tokens: float64(burst), at: now}
}

// NewColdBucket returns a bucket for a home that has just taken over and does not
// know what its predecessor granted: it starts with none, so two homes that
// believe in the same workspace for d seconds grant at most rate times d too much.
func NewColdBucket(now time.Time, rate Rate, burst int) *Bucket {
	b := NewBucket(now, rate, burst)
	b.tokens = 0
	return b
}

// Set changes rate and burst.
func (b *Bucket) Set(now time.Time, rate Rate, burst int) {
	b.refill(now)
	b.rate = rate
	b.burst = float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// Grant takes up to want tokens. With none left it returns zero and when to come back.
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
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.tokens+passed*float64(b.rate), b.burst)
}

// Allowance is one edge's share of a workspace's tokens between two grants.
type Allowance struct {
	tokens int
	until  time.Time
	denied time.Time
	served int
	since  time.Time
	// localUntil is until when the share that the edge gave itself has to last.
	localUntil time.Time
}

// allowanceLife is how long unused granted tokens stay valid, so that an idle edge does not hoard.
const allowanceLife = 2 * time.Second

// maxAsk bounds one request for tokens.
const maxAsk = 64

// Take uses one token if there is one.
func (a *Allowance) Take(now time.Time) bool {
	if a.since.IsZero() {
		a.since = now
	}
	a.served++
	if a.tokens == 0 || now.After(a.until) {
		return false
	}
	a.tokens--
	return true
}

// Denied reports whether the home refused so recently that asking again is useless,
// and when to come back.
func (a *Allowance) Denied(now time.Time) (time.Duration, bool) {
	if now.Before(a.denied) {
		return a.denied.Sub(now), true
	}
	return 0, false
}

// Ask is how many tokens to ask for: about half a second's worth of this edge's own traffic.
func (a *Allowance) Ask(now time.Time) int {
	passed := now.Sub(a.since).Seconds()
	if passed < 0.1 {
		return 1
	}
	perSecond := float64(a.served) / passed
	if passed > 2 {
		a.since, a.served = now, 0
	}
	return min(max(int(perSecond/2), 1), maxAsk)
}

// Granted takes in the home's answer; the caller's own request uses the first token.
func (a *Allowance) Granted(now time.Time, tokens int, retryAfter time.Duration) {
	if tokens == 0 {
		a.denied = now.Add(retryAfter)
		return
	}
	if now.After(a.until) {
		a.tokens = 0
	}
	a.tokens += tokens
	a.until = now.Add(allowanceLife)
}

// NoHome gives this edge its even share of the rate while the home cannot be reached.
func (a *Allowance) NoHome(now time.Time, rate Rate, routers int) {
	if now.Before(a.localUntil) {
		return
	}
	share := float64(rate) / float64(max(routers, 1))
	seconds := max(1, 1/max(share, 0.001))
	a.tokens = max(int(share*seconds), 1)
	a.localUntil = now.Add(time.Duration(seconds * float64(time.Second)))
	a.until = a.localUntil
}
