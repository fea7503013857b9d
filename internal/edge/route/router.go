package route

import (
	"context"
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
	Engines []place.Engine
	Targets map[ident.TargetHash]Target
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
	// lost are targets that this router cannot reach.
	lost []ident.TargetHash
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
	silent  map[ident.Router]time.Time
	permit  uint64
	held    map[place.ShardID]map[uint64]place.Permit
	granted map[place.ShardID]ident.Router
	pending map[place.ShardID][]uint64
	drift   map[place.ShardID]int
	// believed are the homes' latest counts of this router's permits.
	believed map[place.ShardID]int
	// failures counts the calls to homes in a row that failed, tryAt is when one is
	// tried again after too many.
	failures int
	tryAt    time.Time
	// heard is when bytes came last from each target.
	heard map[ident.TargetHash]time.Time
	// owed are withdrawals that were not confirmed, with the latest permit they are about.
	owed map[debt]uint64
	// spoken is when each shard's home was last told of this router's permits.
	spoken   map[place.ShardID]time.Time
	flushing bool
	breakers map[ident.TargetHash]*retry.Breaker
	allowed  map[ident.Workspace]*quota.Allowance
	stats    Stats
}

type pool struct {
	Pool
	picture *place.Pool
	// saturated is until when asking around is thought useless.
	saturated time.Time
}

// Stats counts how targets were found.
type Stats struct {
	Placed   uint64
	Warm     uint64
	Asked    uint64
	Fallback uint64
	Must     uint64
}

// New returns a router without pools.
func New(self Self, homes Homes, clock ident.Clock) *Router {
	if self.AfterFunc == nil {
		self.AfterFunc = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	return &Router{
		self:     self,
		homes:    homes,
		clock:    clock,
		pools:    map[ident.Service][]*pool{},
		permit:   self.FirstPermit,
		assigned: place.Assign(nil, nil),
		held:     map[place.ShardID]map[uint64]place.Permit{},
		granted:  map[place.ShardID]ident.Router{},
		pending:  map[place.ShardID][]uint64{},
		drift:    map[place.ShardID]int{},
		believed: map[place.ShardID]int{},
		spoken:   map[place.ShardID]time.Time{},
		owed:     map[debt]uint64{},
		heard:    map[ident.TargetHash]time.Time{},
		breakers: map[ident.TargetHash]*retry.Breaker{},
		silent:   map[ident.Router]time.Time{},
		allowed:  map[ident.Workspace]*quota.Allowance{},
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
	r.pools = map[ident.Service][]*pool{}
	for _, p := range pools {
		next := r.renew(old[p.Service.Name], p)
		list := r.pools[p.Service.Name]
		if p.Region == r.self.Region {
			list = append([]*pool{next}, list...)
		} else {
			list = append(list, next)
		}
		r.pools[p.Service.Name] = list
	}
	r.assigned = assigned
	moved := r.movedShards()
	r.mu.Unlock()
	return moved
}

// renew keeps what a pool's picture has counted when only its engines change.
func (r *Router) renew(old []*pool, p Pool) *pool {
	for _, o := range old {
		if o.Name == p.Name && o.picture.Shards() == p.Service.Shards && o.Service.Bound == p.Service.Bound {
			o.picture.SetEngines(p.Engines)
			return &pool{Pool: p, picture: o.picture, saturated: o.saturated}
		}
	}
	picture := place.NewPool(p.Name, p.Service.Shards, place.BoundOf(p.Service.Bound))
	picture.SetEngines(p.Engines)
	return &pool{Pool: p, picture: picture}
}

// Acquire finds a target and counts the request there until the placement is released.
func (r *Router) Acquire(ctx context.Context, ask Ask) (*Placement, error) {
	const op = "route.Acquire"
	p := r.poolFor(ask.Service)
	if p == nil {
		return nil, fault.Newf(op, NoTarget, "service %s", ask.Service)
	}
	ask.Avoid = r.withBlocked(p, ask.Avoid)
	ask.lost = r.lost(p)
	if p.Service.Balance == policy.Local {
		return r.local(p, ask)
	}
	for {
		placement, again, err := r.askAround(ctx, p, ask)
		if !again {
			return placement, err
		}
	}
}

// poolFor returns the first pool of a service that has a usable engine, the near one first.
func (r *Router) poolFor(service ident.Service) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools[service] {
		if p.picture.Usable() > 0 {
			return p
		}
	}
	return nil
}

// saturatedFor is how long a pool without free engines is not asked around.
const saturatedFor = 200 * time.Millisecond

// askAround asks the shards for a permit; again is set when a home moved meanwhile.
func (r *Router) askAround(ctx context.Context, p *pool, ask Ask) (placement *Placement, again bool, err error) {
	r.mu.Lock()
	search := p.picture.NewSearch(ask.Key, r.clock().Before(p.saturated))
	cut := r.cutOff()
	r.mu.Unlock()
	if cut {
		return r.withoutHome(ctx, p, ask, nil)
	}
	passed := false
	var holder ident.TargetHash
	for {
		r.mu.Lock()
		step, ok := search.Next(r.clock(), p.picture)
		r.mu.Unlock()
		if !ok {
			return nil, false, fault.New("route.Acquire", NoTarget, nil)
		}
		a, placement, err := r.ask(ctx, p, step, ask)
		if err != nil && !passed && ctx.Err() == nil {
			// The next in line knows what the silent home counted a second ago.
			passed = true
			a, placement, err = r.ask(ctx, p, step, ask)
		}
		switch {
		case err != nil:
			return r.withoutHome(ctx, p, ask, err)
		case placement != nil:
			if placement.Holder == nil && !placement.Warm {
				r.mu.Lock()
				placement.Holder = r.holder(p, holder)
				r.mu.Unlock()
			}
			return placement, false, nil
		case a.Result == home.Moved:
			return nil, true, nil
		case step.Must:
			return nil, false, r.giveUp(ctx, p, step.Shard, a)
		}
		if holder == 0 {
			// The shard that the chat prefers is full; its engine may still be copied from.
			holder = a.Holder
		}
	}
}

const (
	// cutAfter is how many calls in a row may fail, whatever home was asked, before this
	// router counts as cut off from the others: two homes and their next in line.
	cutAfter = 4
	// cutRetry is how often a router that is cut off asks a home all the same.
	cutRetry = 300 * time.Millisecond
)

// cutOff reports whether to decide alone without asking; the caller holds the lock.
func (r *Router) cutOff() bool {
	if r.failures < cutAfter {
		return false
	}
	now := r.clock()
	if now.Before(r.tryAt) {
		return true
	}
	r.tryAt = now.Add(cutRetry)
	return false
}

// giveUp turns the last home's answer into an error.
func (r *Router) giveUp(ctx context.Context, p *pool, shard ident.Shard, a home.Answer) error {
	const op = "route.Acquire"
	r.mu.Lock()
	p.saturated = r.clock().Add(saturatedFor)
	asked := r.homeOf(place.ShardID{Pool: p.Name, Shard: shard})
	r.mu.Unlock()
	later := RetryAfter{Wait: a.RetryAfter, Home: asked, Work: a.Work, Held: a.Held}
	switch {
	case a.Result == home.Empty:
		return fault.New(op, NoTarget, later)
	case a.Result == home.Shed:
		return fault.New(op, Shed, later)
	case ctx.Err() != nil:
		return fault.New(op, Gone, ctx.Err())
	default:
		return fault.New(op, TimedOut, later)
	}
}

// withoutHome decides alone after a home did not answer.
func (r *Router) withoutHome(ctx context.Context, p *pool, ask Ask, cause error) (*Placement, bool, error) {
	if ctx.Err() != nil {
		return nil, false, fault.New("route.Acquire", Gone, cause)
	}
	placement, err := r.local(p, ask)
	return placement, false, err
}

// ask asks one home for a permit.
func (r *Router) ask(ctx context.Context, p *pool, step place.Step, ask Ask) (home.Answer, *Placement, error) {
	id := place.ShardID{Pool: p.Name, Shard: step.Shard}
	now := r.clock()
	r.mu.Lock()
	r.permit++
	permit := r.permit
	to := r.homeOf(id)
	released := r.pending[id]
	delete(r.pending, id)
	sums := p.picture.SumsFor(now, step.Shard, nil)
	r.stats.Asked++
	if step.Must {
		r.stats.Must++
	}
	r.mu.Unlock()
	request := home.Ask{
		Request: place.Request{
			Edge: r.self.ID, Permit: permit, Key: ask.Key, Work: ask.Work, Zone: r.self.Zone, Must: step.Must, Avoid: ask.Avoid,
			Lost: ask.lost,
		},
		Shard:     id,
		Workspace: ask.Workspace,
		Weight:    ask.Weight,
		Priority:  ask.Priority,
		Sums:      sums,
	}
	if step.Must {
		request.Wait = max(ask.Deadline.Sub(now), 0)
	}
	a, err := r.homes.Place(ctx, to, request, released)
	if err == nil && a.Result == home.Empty && r.hasEngines(p, step.Shard) {
		// A router that has just started is home already and knows no engines yet.
		err = fault.New("route.Acquire", NoTarget, nil)
	}
	if err != nil && ctx.Err() == nil {
		r.passOver(ctx, to)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failures = 0
	} else if ctx.Err() == nil {
		r.failures++
		r.tryAt = r.clock().Add(cutRetry)
	}
	if err != nil {
		// The permit may have been given; say that it is not used, to that home too if
		// another one is asked from now on.
		r.giveBack(id, append(released, permit)...)
		if to != r.homeOf(id) {
			r.owe(id, to)
			r.self.AfterFunc(0, func() { r.payOwed(context.Background()) })
		}
		return a, nil, err
	}
	answered := r.clock()
	p.picture.NoteSum(answered, place.Sum{Shard: step.Shard, Work: a.Work})
	for _, sum := range a.Sums {
		p.picture.NoteSum(answered, sum)
	}
	if a.Result != home.Placed {
		if a.Result != home.Moved && a.Result != home.Empty {
			r.watchDrift(id, a.Held)
		}
		return a, nil, nil
	}
	target, ok := p.Targets[a.Engine]
	if !ok {
		// The home knows an engine that this router does not know yet.
		r.giveBack(id, permit)
		return home.Answer{Result: home.Full}, nil, nil
	}
	r.granted[id] = to
	r.spoken[id] = now
	placement := r.hold(p, id, place.Permit{Edge: r.self.ID, ID: permit, Engine: a.Engine, Work: ask.Work}, target)
	placement.Warm = a.Warm
	placement.Home = to
	placement.Holder = r.holder(p, a.Holder)
	if a.Warm {
		r.stats.Warm++
	}
	r.watchDrift(id, a.Held)
	return a, placement, nil
}

// hasEngines reports whether this router knows usable engines of a shard.
func (r *Router) hasEngines(p *pool, shard ident.Shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.picture.Weights()[shard] > 0
}

// local decides from this router's own counts alone.
func (r *Router) local(p *pool, ask Ask) (*Placement, error) {
	const op = "route.Acquire"
	r.mu.Lock()
	defer r.mu.Unlock()
	request := place.Request{Key: ask.Key, Work: ask.Work, Zone: r.self.Zone, Avoid: ask.Avoid, Lost: ask.lost}
	d := p.picture.Local(request, len(r.assigned.Routers()))
	target, known := p.Targets[d.Engine]
	switch {
	case d.Result == place.Empty:
		return nil, fault.New(op, NoTarget, nil)
	case d.Result != place.Placed || !known:
		return nil, fault.New(op, TimedOut, RetryAfter{Wait: time.Second})
	}
	r.permit++
	permit := place.Permit{Edge: r.self.ID, ID: r.permit, Engine: d.Engine, Work: ask.Work}
	if p.Service.Balance == policy.Local {
		return r.hold(p, place.ShardID{}, permit, target), nil
	}
	r.stats.Fallback++
	id := place.ShardID{Pool: p.Name, Shard: place.ShardOf(d.Engine, p.picture.Shards())}
	placement := r.hold(p, id, permit, target)
	placement.Holder = r.holder(p, d.Holder)
	return placement, nil
}

// holder returns a target of the pool from which a prompt can be copied, or nil: an
// engine would wait in vain for one that does not answer. The caller holds the lock.
func (r *Router) holder(p *pool, hash ident.TargetHash) *Target {
	t, ok := p.Targets[hash]
	if !ok {
		return nil
	}
	if b, known := r.breakers[hash]; known && b.Tripped() {
		return nil
	}
	return &t
}

// lost lists the targets of a pool that cannot be reached.
func (r *Router) lost(p *pool) []ident.TargetHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ident.TargetHash
	for hash, b := range r.breakers {
		if _, ours := p.Targets[hash]; ours && b.Tripped() {
			out = append(out, hash)
		}
	}
	return out
}

// withBlocked adds the targets whose breakers are open to those to avoid.
func (r *Router) withBlocked(p *pool, avoid []ident.TargetHash) []ident.TargetHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if len(avoid) >= p.picture.Usable() {
		// Each has failed this request once; another try is all that is left.
		avoid = nil
	}
	blocked := 0
	for hash := range p.Targets {
		if b, ok := r.breakers[hash]; ok && b.Blocked(now) {
			avoid = append(avoid, hash)
			blocked++
		}
	}
	if blocked >= p.picture.Usable() {
		// With every breaker open, trying is better than refusing everything.
		return avoid[:len(avoid)-blocked]
	}
	return avoid
}
