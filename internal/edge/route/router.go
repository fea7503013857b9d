package route

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
	"valescale/internal/rule/retry"
	"valescale/internal/share/home"
)

// Homes asks the homes of shards and workspaces, here or at other routers.
type Homes interface {
	Place(ctx context.Context, home ident.Router, ask home.Ask, released []uint64) (home.Answer, error)
	Release(ctx context.Context, home ident.Router, id place.ShardID, released []uint64) error
	Sync(ctx context.Context, home ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error
	Withdraw(ctx context.Context, home ident.Router, id place.ShardID, upto uint64) error
	Grant(ctx context.Context, home ident.Router, workspace ident.Workspace, want int) (int, time.Duration, error)
}

// Target is what an attempt needs to know of the engine or replica it goes to.
type Target struct {
	ID          ident.Target
	Addr        string
	Zone        ident.Zone
	Incarnation ident.Incarnation
}

// Pool describes one pool as the view and the configuration give it.
type Pool struct {
	Name    ident.Pool
	Region  ident.Region
	Service policy.Service
	// Bound is the load bound, also for a router that decides alone.
	Bound place.Bound
	// Roster are the pool's targets.
	Roster *place.Roster
}

// Self is what a router says of itself when it asks.
type Self struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// FirstPermit is above all permit ids of earlier processes of this router.
	FirstPermit uint64
	// AfterFunc runs a function after a while; nil means time.AfterFunc.
	AfterFunc func(time.Duration, func())
}

// Ask is one request that needs a target.
type Ask struct {
	Service   ident.Service
	Workspace ident.Workspace
	Weight    int
	Priority  int
	Key       ident.ChatKey
	Work      ident.Work
	// Deadline is until when the request may wait.
	Deadline time.Time
	// Avoid are targets that have just failed this request.
	Avoid []ident.TargetHash
	// Once means that no other request has this key.
	Once bool
	// lost are targets that this router cannot reach.
	unreachable []ident.TargetHash
	// withheld are targets that were offered although this router knows that they take no new work.
	excluded []ident.TargetHash
}

// Router finds targets.
type Router struct {
	self     Self
	homes    Homes
	clock    ident.Clock
	mu       sync.Mutex
	pools    map[ident.Service][]*pool
	assigned *place.Assignment
	// silent are homes that did not answer lately, until when they are passed over.
	skipped         map[ident.Router]time.Time
	permit          uint64
	held            map[place.ShardID]map[uint64]place.Permit
	countingHome    map[place.ShardID]ident.Router
	pendingReleases map[place.ShardID][]uint64
	driftCount      map[place.ShardID]int
	// believed are the homes' latest counts of this router's permits.
	homeCount map[place.ShardID]int
	// failures counts the calls to homes in a row that failed, tryAt is when one is
	// tried again after too many.
	homeFailures  int
	isolatedUntil time.Time
	// heard is when bytes came last from each target.
	lastReceived map[ident.TargetHash]time.Time
	// owed are withdrawals that were not confirmed, with the latest permit they are about.
	pendingWithdrawals map[withdrawal]uint64
	// spoken is when each shard's home was last told of this router's permits.
	lastContact    map[place.ShardID]time.Time
	flushScheduled bool
	breakers       map[ident.TargetHash]*retry.Breaker
	// backoffs are the targets that want no requests from this router for a while.
	backoffs map[ident.TargetHash]backoff
	// leaving are the starts of targets that leave, as they told this router, until the pools say it.
	leaving map[ident.TargetHash]ident.Incarnation
	// untold are the backoffs that their shards' homes have not been told of.
	unsentBackoffs map[place.ShardID]map[ident.TargetHash]backoff
	// failed are the targets that failed requests since their shards' homes were asked last.
	unsentFailures map[place.ShardID][]ident.TargetHash
	allowances     map[ident.Workspace]*quota.Allowance
	stats          Stats
	// watcher may be nil.
	watcher Watcher
}

// pool is a pool as this router knows it.
type pool struct {
	Pool
	// picture has the roster and what this router knows of its targets' work.
	state *place.Pool
	// saturated is until when asking around is thought useless.
	saturatedUntil time.Time
	// throttles are kept by kind of request.
	throttles map[requestClass]*throttle
}

// Stats counts how targets were found.
type Stats struct {
	Placed   uint64
	Warm     uint64
	Asked    uint64
	Fallback uint64
	Must     uint64
	// Throttled counts the requests that were refused without asking a home.
	Throttled uint64
}

// New returns a router without pools.
func New(self Self, homes Homes, clock ident.Clock) *Router {
	if self.AfterFunc == nil {
		self.AfterFunc = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	return &Router{
		self:               self,
		homes:              homes,
		clock:              clock,
		pools:              map[ident.Service][]*pool{},
		permit:             self.FirstPermit,
		assigned:           place.Assign(nil, nil),
		held:               map[place.ShardID]map[uint64]place.Permit{},
		countingHome:       map[place.ShardID]ident.Router{},
		pendingReleases:    map[place.ShardID][]uint64{},
		driftCount:         map[place.ShardID]int{},
		homeCount:          map[place.ShardID]int{},
		lastContact:        map[place.ShardID]time.Time{},
		pendingWithdrawals: map[withdrawal]uint64{},
		lastReceived:       map[ident.TargetHash]time.Time{},
		breakers:           map[ident.TargetHash]*retry.Breaker{},
		backoffs:           map[ident.TargetHash]backoff{},
		leaving:            map[ident.TargetHash]ident.Incarnation{},
		unsentBackoffs:     map[place.ShardID]map[ident.TargetHash]backoff{},
		unsentFailures:     map[place.ShardID][]ident.TargetHash{},
		skipped:            map[ident.Router]time.Time{},
		allowances:         map[ident.Workspace]*quota.Allowance{},
	}
}

// Stats returns the counts so far.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Set replaces pools and the assignment of homes, and returns the shards whose home
// has changed, to be moved. A service's own region comes first among its pools.
func (r *Router) Set(pools []Pool, assigned *place.Assignment) []Move {
	r.mu.Lock()
	old := r.pools
	r.removeRestarted(pools)
	r.pools = map[ident.Service][]*pool{}
	for _, p := range pools {
		next := r.updatePool(old[p.Service.Name], p)
		list := r.pools[p.Service.Name]
		if p.Region == r.self.Region {
			list = append([]*pool{next}, list...)
		} else {
			list = append(list, next)
		}
		r.pools[p.Service.Name] = list
	}
	r.assigned = assigned
	r.removeGone(pools)
	moved := r.movedShards()
	r.mu.Unlock()
	return moved
}

// Reassign replaces the assignment of homes alone, and returns the shards whose home has changed.
func (r *Router) Reassign(assigned *place.Assignment) []Move {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assigned = assigned
	return r.movedShards()
}

// Target returns one of a pool's targets.
func (p Pool) Target(hash ident.TargetHash) (Target, bool) {
	e, known := p.Roster.Engine(hash)
	return TargetOf(e), known
}

// TargetOf is what an attempt needs to know of an engine.
func TargetOf(e place.Engine) Target {
	return Target{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Incarnation: e.Incarnation}
}

// has reports whether a pool has a target.
func (p Pool) has(hash ident.TargetHash) bool {
	_, known := p.Roster.Engine(hash)
	return known
}

// forgetRestarted drops what was seen of targets that have started anew since: it was of the earlier
// start. What this router has in flight there counts on until it ends, since some of it may have
// reached the new start already; the caller holds the lock.
func (r *Router) removeRestarted(pools []Pool) {
	restarted := func(hash ident.TargetHash) bool {
		return slices.ContainsFunc(pools, func(p Pool) bool { return r.restarted(p, hash) })
	}
	maps.DeleteFunc(r.breakers, func(hash ident.TargetHash, _ *retry.Breaker) bool { return restarted(hash) })
	maps.DeleteFunc(r.lastReceived, func(hash ident.TargetHash, _ time.Time) bool { return restarted(hash) })
	for id, unsentFailures := range r.unsentFailures {
		r.unsentFailures[id] = slices.DeleteFunc(unsentFailures, restarted)
	}
}

// restarted reports whether a target is of another start in a pool than in the one that it replaces; the caller
// holds the lock.
func (r *Router) restarted(next Pool, hash ident.TargetHash) bool {
	now, known := next.Roster.Engine(hash)
	if !known {
		return false
	}
	return slices.ContainsFunc(r.pools[next.Service.Name], func(p *pool) bool {
		before, had := p.Roster.Engine(hash)
		return had && before.Incarnation != now.Incarnation
	})
}

// forgetGone drops what is known of targets that no pool has any more; the caller holds
// the lock.
func (r *Router) removeGone(pools []Pool) {
	gone := func(hash ident.TargetHash) bool {
		return !slices.ContainsFunc(pools, func(p Pool) bool { return p.has(hash) })
	}
	maps.DeleteFunc(r.breakers, func(hash ident.TargetHash, _ *retry.Breaker) bool { return gone(hash) })
	maps.DeleteFunc(r.lastReceived, func(hash ident.TargetHash, _ time.Time) bool { return gone(hash) })
	r.removeExpiredBackoffs()
	r.removeStaleLeaving()
	for id, unsentFailures := range r.unsentFailures {
		if slices.ContainsFunc(unsentFailures, gone) {
			// Its shard may be another by now, too.
			delete(r.unsentFailures, id)
		}
	}
}

// renew keeps what a pool's picture has counted when only its engines change, and what
// this router has sent where in any case.
func (r *Router) updatePool(old []*pool, p Pool) *pool {
	i := slices.IndexFunc(old, func(o *pool) bool { return o.Name == p.Name })
	if i >= 0 && old[i].state.Shards() == p.Roster.Shards() && old[i].Bound == p.Bound {
		old[i].state.SetRoster(p.Roster)
		return &pool{Pool: p, state: old[i].state, saturatedUntil: old[i].saturatedUntil, throttles: old[i].throttles}
	}
	state := place.NewPool(p.Name, p.Roster.Shards(), p.Bound)
	if i >= 0 {
		state.Inherit(old[i].state)
	}
	state.SetRoster(p.Roster)
	return &pool{Pool: p, state: state, throttles: map[requestClass]*throttle{}}
}

// mostOffers is how many places a request may be given at targets that take no new work, as this router
// knows. After the first one the home is told of all of them; more come only if others say so meanwhile.
const maxOffers = 4

// offersWait is when a request comes back that was offered nothing else: homes know by then.
const offersRetryAfter = time.Second

// Acquire finds a target and counts the request there until the placement is released.
func (r *Router) Acquire(ctx context.Context, request Ask) (*Placement, error) {
	const op = "route.Acquire"
	for range maxOffers {
		p, err := r.poolFor(request.Service)
		if err != nil {
			return nil, err
		}
		placement, err := r.findInPool(ctx, p, request)
		if err != nil {
			return nil, err
		}
		excluded := r.excluded(p, placement)
		if excluded == nil {
			return placement, nil
		}
		placement.Release()
		request.excluded = append(request.excluded, excluded...)
	}
	return nil, fault.New(op, TimedOut, RetryAfter{Wait: offersRetryAfter})
}

// find finds a target in a pool, which homes may offer although this router knows better.
func (r *Router) findInPool(ctx context.Context, p *pool, request Ask) (*Placement, error) {
	request.Avoid, request.unreachable = r.avoidedTargets(p, request)
	if p.Service.Balance == policy.Local {
		return r.placeLocally(p, request)
	}
	if err := r.checkThrottle(p, request); err != nil {
		return nil, err
	}
	for {
		placement, retry, err := r.searchShards(ctx, p, request)
		if !retry {
			r.recordOutcome(p, request, err)
			return placement, err
		}
	}
}
