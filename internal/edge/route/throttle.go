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
	// askedPerGrant is how many permits a router asks for with each that it gets while it
	// is being refused. Homes then decide twice as many requests as their engines can run,
	// however many callers press. Asking for everything kept a home's box of 0.4 cores too busy to answer in
	// time: at four times the traffic a fifth fewer answers came in time.
	requestsPerGrant = 2
	// throttleHalfLife is after how long what was asked and granted counts half: with some
	// ten requests a second of a workspace a share of them can be told.
	throttleHalfLife = 500 * time.Millisecond
	// throttleSlack is how many refusals pass before any request is refused without asking.
	throttleSlack = 3
	// askAtLeast is how long a router refuses requests of one kind without asking about any: the
	// fleet's 295 routers together ask some 3,000 times a second then, a third of what its eight
	// homes are asked in a surge anyway, and a router that sees nine requests a second learns
	// with the first or second of them that a surge is over.
	throttleProbeInterval = 100 * time.Millisecond
	// maxThrottles bounds the kinds of requests of which a pool remembers how they did.
	maxThrottles = 4096
)

// demand names the requests that homes treat alike.
type requestClass struct {
	workspace ident.Workspace
	priority  int
}

// throttle refuses requests of one kind that a home would refuse, so that neither they
// nor the home spend time on asking. It follows the home's own refusals: with all
// requests granted it never acts.
type throttle struct {
	// ended counts the requests that were granted or refused, here or by a home; granted
	// those among them that got a permit. What is still being asked for counts as neither.
	decided   float64
	granted   float64
	decayedAt time.Time
	// asked is when a home was asked last.
	lastRequest time.Time
	// owed is the part of a question to the home that the requests refused so far add up to.
	credit float64
	// refusal is the latest of a home, to be passed on.
	lastRejection RetryAfter
}

// decay lets what was counted earlier count less.
func (t *throttle) decay(now time.Time) {
	kept := decay.Kept(now.Sub(t.decayedAt), throttleHalfLife)
	t.decided *= kept
	t.granted *= kept
	t.decayedAt = now
}

// admits reports whether to ask a home for a request.
func (t *throttle) allow(now time.Time) bool {
	t.decay(now)
	// Of the requests beyond what may be asked an even part goes through.
	t.credit += min((requestsPerGrant*t.granted+throttleSlack)/(t.decided+1), 1)
	if t.credit < 1 && now.Sub(t.lastRequest) < throttleProbeInterval {
		t.decided++
		return false
	}
	t.credit = max(t.credit-1, 0)
	t.lastRequest = now
	return true
}

// learn counts a request that a home has granted or refused.
func (t *throttle) recordOutcome(now time.Time, granted bool) {
	t.decay(now)
	t.decided++
	if granted {
		t.granted++
	}
}

// spread is the latest refusal with a time to come back up to twice as late: a home tells
// each caller a time of its own, and those refused here must not all return at one of them.
func (t *throttle) jitteredRejection() RetryAfter {
	retryAfter := t.lastRejection
	retryAfter.Wait += rand.N(retryAfter.Wait + 1)
	return retryAfter
}

// throttleOf returns what is known of an ask's kind, made on first use; the caller holds
// the lock.
func (p *pool) throttleOf(request Ask) *throttle {
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

// throttled refuses an ask that a home would refuse.
func (r *Router) checkThrottle(p *pool, request Ask) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := p.throttleOf(request)
	if t.allow(r.clock()) {
		return nil
	}
	r.stats.Throttled++
	return fault.New("route.Acquire", Shed, t.jitteredRejection())
}

// unthrottle forgets that homes have refused requests, since one of them has room again: while
// requests wait for a shard, none of its slots stays free. At 295 routers, each of which sees a
// few requests a second, 29 in 100 requests of the half second after a surge were refused for
// what homes had answered before, and 10 of the next.
func (p *pool) resetThrottles() {
	clear(p.throttles)
	p.saturatedUntil = time.Time{}
}

// learn takes in how an ask ended. Whatever did not end in a home's refusal speaks for
// asking on.
func (r *Router) recordOutcome(p *pool, request Ask, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := p.throttleOf(request)
	kind := fault.KindOf[Kind](err)
	rejected := kind == Shed || kind == TimedOut
	t.recordOutcome(r.clock(), !rejected)
	if rejected {
		// Without a time in the error there is none to pass on.
		_ = errors.As(err, &t.lastRejection)
		t.lastRejection.Throttled = true
	}
}
