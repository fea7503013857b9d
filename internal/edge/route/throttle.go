package route

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

const (
	// requestsPerGrant is how many permits a router requests for each one granted while homes
	// reject requests. Homes then decide twice as many requests as their engines can run, at any
	// number of callers. With a permit request for every request, a home on a box of 0.4 cores was
	// too busy to respond in time: at four times the traffic a fifth fewer answers arrived in time.
	requestsPerGrant = 2
	// throttleHalfLife is the half-life of the counted requests and grants. At about ten requests a
	// second of a workspace it is long enough to measure a ratio of them.
	throttleHalfLife = 500 * time.Millisecond
	// throttleSlack is the number of rejections before any request is rejected without a permit
	// request.
	throttleSlack = 3
	// throttleProbeInterval is the maximum time for which a router rejects all requests of one
	// class without a permit request. The 295 routers of a fleet then send about 3,000 permit
	// requests a second, a third of what their eight homes receive in a surge anyway, and a router
	// that gets nine requests a second detects the end of a surge with the first or second of them.
	throttleProbeInterval = 100 * time.Millisecond
	// maxThrottles limits the number of request classes for which a pool keeps a throttle.
	maxThrottles = 4096
)

// requestClass identifies the requests that homes treat alike.
type requestClass struct {
	workspace ident.Workspace
	priority  int
}

// throttle rejects requests of one class that a home would reject, which saves the permit request
// on both sides. It follows the home's own rejections: while all requests are granted it has no
// effect.
type throttle struct {
	// decided counts the requests that were granted or rejected, by this router or by a home;
	// granted counts those that got a permit. Requests that are still pending count as neither.
	decided   float64
	granted   float64
	decayedAt time.Time
	// lastRequest is when a permit request was last sent to a home.
	lastRequest time.Time
	// credit is the fraction of a permit request that the rejected requests have accumulated.
	credit float64
	// lastRejection is the latest rejection by a home, whose delay is returned to callers.
	lastRejection RetryAfter
}

// decay reduces the weight of earlier requests.
func (t *throttle) decay(now time.Time) {
	kept := decay.Factor(now.Sub(t.decayedAt), throttleHalfLife)
	t.decided *= kept
	t.granted *= kept
	t.decayedAt = now
}

// allow reports whether to send a permit request for a request.
func (t *throttle) allow(now time.Time) bool {
	t.decay(now)
	// Of the requests above the limit an even share is sent.
	t.credit += min((requestsPerGrant*t.granted+throttleSlack)/(t.decided+1), 1)
	if t.credit < 1 && now.Sub(t.lastRequest) < throttleProbeInterval {
		t.decided++
		return false
	}
	t.credit = max(t.credit-1, 0)
	t.lastRequest = now
	return true
}

// recordOutcome counts a request that a home has granted or rejected.
func (t *throttle) recordOutcome(now time.Time, granted bool) {
	t.decay(now)
	t.decided++
	if granted {
		t.granted++
	}
}

// jitteredRejection returns the latest rejection with its Retry-After delay increased by up to
// 100%. A home sets a different delay for each caller, and the callers rejected here must not all
// return at one of these times.
func (t *throttle) jitteredRejection() RetryAfter {
	retryAfter := t.lastRejection
	retryAfter.Wait += rand.N(retryAfter.Wait + 1)
	return retryAfter
}

// throttleOf returns the throttle of a request's class, which it creates on first use. The caller
// holds the lock.
func (p *pool) throttleOf(request TargetRequest) *throttle {
	key := requestClass{workspace: request.Workspace, priority: request.Priority}
	t, known := p.throttles[key]
	if !known {
		if len(p.throttles) >= maxThrottles {
			clear(p.throttles)
		}
		t = &throttle{}
		p.throttles[key] = t
	}
	return t
}

// checkThrottle returns an error for a request that a home would reject.
func (r *Router) checkThrottle(p *pool, request TargetRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := p.throttleOf(request)
	if t.allow(r.clock()) {
		return nil
	}
	r.stats.Throttled++
	return fault.New("route.Acquire", Shed, t.jitteredRejection())
}

// resetThrottles removes the recorded rejections, since a shard has room again: while requests wait
// for a shard, none of its slots stays free. At 295 routers, each with a few requests a second,
// earlier rejections by homes otherwise caused 29 in 100 requests to be rejected in the half second
// after a surge, and 10 in 100 in the next.
func (p *pool) resetThrottles() {
	clear(p.throttles)
	p.saturatedUntil = time.Time{}
}

// recordOutcome records the outcome of a request in its throttle. Every outcome but a rejection by
// a home counts as granted.
func (r *Router) recordOutcome(p *pool, request TargetRequest, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := p.throttleOf(request)
	kind := fault.KindOf[Kind](err)
	rejected := kind == Shed || kind == TimedOut
	t.recordOutcome(r.clock(), !rejected)
	if rejected {
		// An error without a Retry-After delay leaves the latest one unchanged.
		_ = errors.As(err, &t.lastRejection)
		t.lastRejection.Throttled = true
	}
}
