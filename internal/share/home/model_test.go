package home_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

const (
	// splitSlots never bind.
	unlimitedSlots = 200
	// splitFactor and splitExtra are what callers were promised: no request reaches an engine
	// that holds more than factor times the mean and some more.
	promisedFactor = 2
	promisedExtra  = 3
)

// splitBound is the bound that homes keep, a little below the promise.
var fleetBound = place.Bound{
	Factor: 0.95 * promisedFactor, Extra: 5 * ident.OneRequest / 2, Steady: 1.3, DigestLife: 4 * time.Second, Places: 10_000,
}

// box is one router and the homes it runs.
type member struct {
	id     ident.Router
	homes  *home.Homes
	router *route.Router
	// assigned is who is home as this router sees it.
	assigned *place.Assignment
	// deaf says whether this router's calls to a home go unanswered now.
	unanswered func(to ident.Router) bool
}

// size is how many routers share how many engines, in how many shards, of how many slots each.
type fleetSize struct{ routers, engines, shards, slots int }

var (
	smallFleet = fleetSize{routers: 7, engines: 18, shards: 1, slots: unlimitedSlots}
	largeFleet = fleetSize{routers: 62, engines: 90, shards: 1, slots: unlimitedSlots}
)

// splitFleet is some routers that share one shard, in time that the test moves.
type fleet struct {
	fleetSize
	now      time.Time
	rng      *rand.Rand
	schedule []scheduledCall
	names    []ident.Router
	pools    []route.Pool
	members  []*member
	assigned *place.Assignment
	// held is what each engine really holds.
	held map[ident.TargetHash]int
	// over and all count the requests since the last look.
	overPromise, requests int
}

type scheduledCall struct {
	at   time.Time
	call func()
}

func (f *fleet) after(d time.Duration, call func()) {
	next := scheduledCall{at: f.now.Add(d), call: call}
	i, _ := slices.BinarySearchFunc(f.schedule, next, func(a, b scheduledCall) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.schedule = slices.Insert(f.schedule, i, next)
}

func (f *fleet) every(d time.Duration, call func()) {
	var repeat func()
	repeat = func() {
		call()
		f.after(d, repeat)
	}
	// Routers start their rounds at different times.
	f.after(time.Duration(f.rng.Int64N(int64(d))), repeat)
}

func (f *fleet) runFor(d time.Duration) {
	until := f.now.Add(d)
	for len(f.schedule) > 0 && !f.schedule[0].at.After(until) {
		next := f.schedule[0]
		f.schedule = f.schedule[1:]
		f.now = next.at
		next.call()
	}
	f.now = until
}

// wire is one router's calls to homes.
type directCaller struct {
	f    *fleet
	from *member
}

func (w directCaller) homesAt(to ident.Router) (*home.Homes, error) {
	if w.from.unanswered != nil && w.from.unanswered(to) {
		return nil, fault.New("test", home.Unreachable, nil)
	}
	return w.f.member(to).homes, nil
}

func (w directCaller) Place(ctx context.Context, to ident.Router, req home.Ask, released []uint64) (home.Answer, error) {
	// An answer that comes too late leaves its permit behind.
	a := w.f.member(to).homes.Place(ctx, req, released)
	if _, err := w.homesAt(to); err != nil {
		return home.Answer{}, err
	}
	return a, nil
}

func (w directCaller) Release(_ context.Context, to ident.Router, id place.ShardID, released []uint64) error {
	w.f.member(to).homes.Release(id, w.from.id, released)
	return nil
}

func (w directCaller) Sync(_ context.Context, to ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	h, err := w.homesAt(to)
	if err == nil {
		h.Sync(id, w.from.id, held, upto, from)
	}
	return err
}

func (w directCaller) Withdraw(_ context.Context, to ident.Router, id place.ShardID, upto uint64) error {
	h, err := w.homesAt(to)
	if err == nil {
		h.Withdraw(id, w.from.id, upto)
	}
	return err
}

func (w directCaller) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, nil
}

func (f *fleet) member(id ident.Router) *member {
	return f.members[slices.IndexFunc(f.members, func(b *member) bool { return b.id == id })]
}

func newFleet(seed uint64, of fleetSize) *fleet {
	f := &fleet{
		fleetSize: of, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(seed, 1)), held: map[ident.TargetHash]int{},
	}
	clock := func() time.Time { return f.now }
	p := route.Pool{
		Name: pool, Region: "co", Bound: fleetBound,
		Service: policy.Service{Name: "judge", Balance: policy.Exact, Shards: of.shards},
	}
	var engines []place.Engine
	for i := range f.engines {
		name := ident.Target("engine-" + strconv.Itoa(i))
		engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Slots: ident.Work(of.slots) * ident.OneRequest})
	}
	p.Roster = place.NewRoster(of.shards, engines)
	f.pools = []route.Pool{p}
	for i := range f.routers {
		f.names = append(f.names, ident.Router("router-"+strconv.Itoa(i)))
	}
	f.assigned = place.Assign(f.shardIDs(), f.names)
	for _, name := range f.names {
		b := &member{id: name, assigned: f.assigned}
		b.homes = home.New(name, home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
		b.homes.SetPool(pool, fleetBound, p.Roster)
		b.router = route.New(route.Self{ID: name, Region: "co", AfterFunc: f.after}, directCaller{f, b}, clock)
		b.router.Set(f.pools, f.assigned)
		f.members = append(f.members, b)
		f.every(500*time.Millisecond, func() {
			b.homes.Lapse()
			b.router.Reconcile(context.Background())
		})
		f.every(time.Second, func() { f.transferShards(b) })
		f.every(time.Second, func() { f.publish(b) })
		f.every(20*time.Millisecond, func() {
			select {
			case <-b.homes.Urgent():
				f.publish(b)
			default:
			}
		})
	}
	return f
}

// shardIDs are the pool's shards.
func (f *fleet) shardIDs() []place.ShardID {
	var out []place.ShardID
	for s := range f.shards {
		out = append(out, place.ShardID{Pool: pool, Shard: ident.Shard(s)})
	}
	return out
}

// see has a box take other routers than all for live.
func (f *fleet) setLive(b *member, live []ident.Router) {
	b.assigned = place.Assign(f.shardIDs(), live)
	b.router.Move(context.Background(), b.router.Set(f.pools, b.assigned))
	f.transferShards(b)
}

// handOff passes on what a box counts that another is home of, as routers do.
func (f *fleet) transferShards(b *member) {
	for _, p := range b.homes.Misplaced(b.assigned.Home) {
		f.member(p.To).homes.Accept(p)
		b.homes.Moved(p.ID, p.To)
	}
}

func (f *fleet) publish(b *member) {
	for _, p := range b.homes.Publications(b.assigned, f.assigned) {
		for _, to := range p.To {
			d := p.Digest
			f.after(2*time.Millisecond, func() { f.member(to).homes.Merge([]place.Digest{d}) })
		}
	}
}

// traffic has each router send requests: a third of them about a few subjects, the others
// about many.
func (f *fleet) traffic(every, duration time.Duration) {
	for _, b := range f.members {
		f.every(every, func() { f.request(b, duration) })
	}
}

func (f *fleet) request(b *member, duration time.Duration) {
	key := ident.ChatKey(1 + f.rng.IntN(400))
	if f.rng.IntN(3) == 0 {
		key = ident.ChatKey(1001 + f.rng.IntN(3))
	}
	p, err := b.router.Acquire(context.Background(), route.Ask{Service: "judge", Key: key, Work: ident.OneRequest, Deadline: f.now})
	if err != nil {
		return
	}
	f.requests++
	if float64(f.held[p.Hash]) > promisedFactor*float64(f.total())/float64(f.engines)+promisedExtra {
		f.overPromise++
	}
	f.held[p.Hash]++
	f.after(duration/2+time.Duration(f.rng.Int64N(int64(duration))), func() {
		f.held[p.Hash]--
		p.Release()
	})
}

// share returns which part of the requests since the last look went above the promise.
func (f *fleet) overRatio() float64 {
	overRatio := float64(f.overPromise) / float64(max(f.requests, 1))
	f.overPromise, f.requests = 0, 0
	return overRatio
}
