package route

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
	"valescale/internal/rule/retry"
	"valescale/internal/share/home"
)

// Homes calls the homes of shards and workspaces, on this router or its peers.
type Homes interface {
	Place(ctx context.Context, home ident.Router, request home.PermitRequest, released []uint64) (home.PermitResponse, error)
	Release(ctx context.Context, home ident.Router, id place.ShardID, released []uint64) error
	Sync(ctx context.Context, home ident.Router, id place.ShardID, held []place.Permit, maxID uint64, from ident.Router) error
	Withdraw(ctx context.Context, home ident.Router, id place.ShardID, maxID uint64) error
	Grant(ctx context.Context, home ident.Router, workspace ident.Workspace, want int) (int, time.Duration, error)
}

// Target is what an attempt needs of the engine or replica that it is sent to.
type Target struct {
	ID          ident.Target
	Addr        string
	Zone        ident.Zone
	Incarnation ident.Incarnation
	// Version is the version of the target's software, empty if it reports none.
	Version ident.Version
}

// Pool is a pool as given by the membership view and the configuration.
type Pool struct {
	Name    ident.Pool
	Region  ident.Region
	Service policy.Service
	// Bound is the load bound, which also applies to local placements.
	Bound place.Bound
	// Roster contains the targets of the pool.
	Roster *place.Roster
}

// Self describes this router in permit requests.
type Self struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// FirstPermit is above all permit ids of earlier processes of this router.
	FirstPermit uint64
	// AfterFunc calls a function after a delay; nil means time.AfterFunc.
	AfterFunc func(time.Duration, func())
}

// TargetRequest is one request that needs a target.
type TargetRequest struct {
	Service   ident.Service
	Workspace ident.Workspace
	Weight    int
	Priority  int
	Key       ident.ChatKey
	Work      ident.Work
	// Deadline is the time until which the request may wait.
	Deadline time.Time
	// Version is the only version of the service whose targets may run the request, or empty.
	Version ident.Version
	// Avoid contains the targets that have just failed this request.
	Avoid []ident.TargetHash
	// Once means that no other request has this key.
	Once bool
	// SilentSince is since when the target at which the request runs already has sent nothing; zero if it does not run.
	// Such a request neither waits nor goes to a target that may not answer either.
	SilentSince time.Time
	// Parent identifies the part of the prompt before the one that the key stands for, or is zero.
	Parent ident.ChatKey
	// Effort is the time that the request usually takes. Due is when the first byte of the answer is
	// due, or zero.
	Effort pace.Effort
	Due    time.Time
	// unreachable contains the targets that this router cannot reach.
	unreachable []ident.TargetHash
	// excluded contains the targets that were offered although they accept no new work according to
	// this router's state.
	excluded []ident.TargetHash
}

// runs reports whether the request runs already.
func (t TargetRequest) runs() bool { return !t.SilentSince.IsZero() }

// Router finds targets for requests.
type Router struct {
	self     Self
	homes    Homes
	clock    ident.Clock
	mu       sync.Mutex
	pools    map[ident.Service][]*pool
	assigned *place.Assignment
	// skipped contains the homes that did not respond recently, with the time until which they are
	// skipped.
	skipped map[ident.Router]time.Time
	permit  uint64
	held    map[place.ShardID]map[uint64]place.Permit
	// inTransit contains the permits that were requested and whose response was not processed yet.
	inTransit       map[place.ShardID]map[uint64]bool
	countingHome    map[place.ShardID]ident.Router
	pendingReleases map[place.ShardID][]uint64
	driftCount      map[place.ShardID]int
	// homeCount contains the homes' latest counts of this router's permits.
	homeCount map[place.ShardID]int
	// homeFailures is the number of consecutive failed calls to homes. isolatedUntil is when an
	// isolated router calls a home again.
	homeFailures  int
	isolatedUntil time.Time
	// lastReceived is when the last bytes arrived from each target.
	lastReceived map[ident.TargetHash]time.Time
	// pendingWithdrawals contains the unconfirmed withdrawals with the latest permit id that they
	// cover.
	pendingWithdrawals map[withdrawal]uint64
	// lastContact is when the home of each shard last received a message about this router's
	// permits.
	lastContact    map[place.ShardID]time.Time
	flushScheduled bool
	breakers       map[ident.TargetHash]*retry.Breaker
	// backoffs contains the targets that accept no requests from this router for some time.
	backoffs map[ident.TargetHash]backoff
	// leaving contains the incarnations of targets that are leaving according to their answers,
	// until the pools show it.
	leaving map[ident.TargetHash]ident.Incarnation
	// unsentBackoffs contains the backoffs that were not yet reported to the homes of their shards.
	unsentBackoffs map[place.ShardID]map[ident.TargetHash]backoff
	// unsentFailures contains the targets that failed requests since the last permit request to the
	// home of their shard.
	unsentFailures map[place.ShardID][]ident.TargetHash
	silences       silences
	// unsentPaces contains the reports about paces since the last permit request to the home of the
	// targets' shard.
	unsentPaces map[place.ShardID]*pace.Unsent
	// paced is set once a target has reported its pace.
	paced      bool
	allowances map[ident.Workspace]*quota.Allowance
	stats      Stats
	// watcher may be nil.
	watcher Watcher
}

// pool is a pool with this router's own state of it.
type pool struct {
	Pool
	// state contains the roster and the work of its targets as counted by this router.
	state *place.Pool
	// saturatedUntil is the time until which a search of all shards is not expected to find a free
	// engine.
	saturatedUntil time.Time
	// throttles contains the throttle of each class of requests.
	throttles map[requestClass]*throttle
}

// Stats counts the ways in which targets were found.
type Stats struct {
	Placed          uint64
	Warm            uint64
	PermitRequests  uint64
	LocalPlacements uint64
	WaitingRequests uint64
	// Waited counts the permit requests that waited for a target. WaitedBesideRoom counts those of them
	// at whose end another shard of the pool had a free slot by its latest load.
	Waited           uint64
	WaitedBesideRoom uint64
	// Throttled counts the requests rejected without a permit request.
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
		inTransit:          map[place.ShardID]map[uint64]bool{},
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
		silences:           newSilences(),
		unsentPaces:        map[place.ShardID]*pace.Unsent{},
		skipped:            map[ident.Router]time.Time{},
		allowances:         map[ident.Workspace]*quota.Allowance{},
	}
}

// Stats returns the counts since the start.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Set replaces the pools and the assignment of homes, and returns the shards whose home has
// changed, for Move. The pool of the own region is the first among the pools of a service.
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
	r.removeUnlisted(pools)
	moved := r.movedShards()
	r.mu.Unlock()
	return moved
}

// Reassign replaces only the assignment of homes, and returns the shards whose home has changed.
func (r *Router) Reassign(assigned *place.Assignment) []Move {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assigned = assigned
	return r.movedShards()
}

// Target returns a target of the pool.
func (p Pool) Target(hash ident.TargetHash) (Target, bool) {
	e, known := p.Roster.Engine(hash)
	return TargetOf(e), known
}

// TargetOf returns the target of an engine.
func TargetOf(e place.Engine) Target {
	return Target{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Incarnation: e.Incarnation, Version: e.Version}
}

// has reports whether the pool contains a target.
func (p Pool) has(hash ident.TargetHash) bool {
	_, known := p.Roster.Engine(hash)
	return known
}

// removeRestarted removes the state of targets that have restarted, which is that of their earlier
// incarnation. Requests of this router in flight there are counted until they end, since some of
// them may have reached the new incarnation already. The caller holds the lock.
func (r *Router) removeRestarted(pools []Pool) {
	restarted := func(hash ident.TargetHash) bool {
		return slices.ContainsFunc(pools, func(p Pool) bool { return r.restarted(p, hash) })
	}
	maps.DeleteFunc(r.breakers, func(hash ident.TargetHash, _ *retry.Breaker) bool { return restarted(hash) })
	maps.DeleteFunc(r.lastReceived, func(hash ident.TargetHash, _ time.Time) bool { return restarted(hash) })
	for id, unsentFailures := range r.unsentFailures {
		r.unsentFailures[id] = slices.DeleteFunc(unsentFailures, restarted)
	}
	r.silences.remove(restarted)
	for _, unsent := range r.unsentPaces {
		unsent.Remove(restarted)
	}
}

// restarted reports whether a target has another incarnation in a pool than in the pool that it
// replaces. The caller holds the lock.
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

// removeUnlisted removes the state of targets that are in no pool any more. The caller holds the
// lock.
func (r *Router) removeUnlisted(pools []Pool) {
	unlisted := func(hash ident.TargetHash) bool {
		return !slices.ContainsFunc(pools, func(p Pool) bool { return p.has(hash) })
	}
	maps.DeleteFunc(r.breakers, func(hash ident.TargetHash, _ *retry.Breaker) bool { return unlisted(hash) })
	maps.DeleteFunc(r.lastReceived, func(hash ident.TargetHash, _ time.Time) bool { return unlisted(hash) })
	r.removeExpiredBackoffs()
	r.removeStaleLeaving()
	for id, unsentFailures := range r.unsentFailures {
		if slices.ContainsFunc(unsentFailures, unlisted) {
			// The remaining targets may be in another shard by now, too.
			delete(r.unsentFailures, id)
		}
	}
	r.silences.remove(unlisted)
	for _, unsent := range r.unsentPaces {
		unsent.Remove(unlisted)
	}
}

// updatePool keeps the counted shard loads of a pool if only its engines change, and this router's
// own placements in any case.
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

// maxOffers is how many permits a request may be granted on targets that accept no new work
// according to this router's state. After the first one the homes receive all such targets; further
// ones follow only if targets reported it in the meantime.
const maxOffers = 4

// offersRetryAfter is the Retry-After delay of a request that was offered no other targets. The
// homes have the state of these targets by then.
const offersRetryAfter = time.Second

// Acquire finds a target and counts the request there until the placement is released.
func (r *Router) Acquire(ctx context.Context, request TargetRequest) (*Placement, error) {
	const op = "route.Acquire"
	for range maxOffers {
		p, err := r.poolFor(request.Service, request.Version)
		if err != nil {
			return nil, err
		}
		placement, err := r.findInPool(ctx, p, request)
		if err != nil {
			return nil, err
		}
		if request.runs() && r.isDoubtful(p, request, placement.Hash) {
			placement.Release()
			return nil, fault.New(op, NoTarget, nil)
		}
		excluded := r.excluded(p, request.Version, placement)
		if excluded == nil {
			return placement, nil
		}
		placement.Release()
		request.excluded = append(request.excluded, excluded...)
	}
	return nil, fault.New(op, TimedOut, RetryAfter{Wait: offersRetryAfter})
}

// findInPool finds a target in a pool. A home may offer a target that this router must not use.
func (r *Router) findInPool(ctx context.Context, p *pool, request TargetRequest) (*Placement, error) {
	request.Avoid, request.unreachable = r.avoidedTargets(p, request)
	if p.Service.Balance == policy.Local {
		return r.placeLocally(p, request)
	}
	if request.runs() {
		// A rejection says nothing of requests that wait.
		return r.searchAll(ctx, p, request)
	}
	if err := r.checkThrottle(p, request); err != nil {
		return nil, err
	}
	placement, err := r.searchAll(ctx, p, request)
	r.recordOutcome(p, request, err)
	return placement, err
}

// searchAll searches the shards of a pool, and again if the home of one changes meanwhile.
func (r *Router) searchAll(ctx context.Context, p *pool, request TargetRequest) (*Placement, error) {
	for {
		placement, retry, err := r.searchShards(ctx, p, request)
		if !retry {
			return placement, err
		}
	}
}
