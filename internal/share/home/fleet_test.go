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
	// unlimitedSlots is high enough never to limit placement.
	unlimitedSlots = 200
	// promisedFactor and promisedExtra are the promised load bound: no request is sent to an engine
	// that holds more than promisedFactor times the mean plus promisedExtra requests.
	promisedFactor = 2
	promisedExtra  = 3
)

// fleetBound is the bound that homes apply, slightly below the promised one.
var fleetBound = place.Bound{
	Factor: 0.95 * promisedFactor, Extra: 5 * ident.OneRequest / 2, PreferredFactor: 1.3, DigestTTL: 4 * time.Second, MaxPlaces: 10_000,
}

// member is a router of the fleet and its homes.
type member struct {
	id     ident.Router
	homes  *home.Homes
	router *route.Router
	// assigned is the assignment of shards to homes in this router's membership view.
	assigned *place.Assignment
	// unanswered reports whether this router's calls to a home are currently not answered.
	unanswered func(to ident.Router) bool
}

// fleetSize is the number of routers, engines, shards and slots per engine.
type fleetSize struct{ routers, engines, shards, slots int }

var (
	smallFleet = fleetSize{routers: 7, engines: 18, shards: 1, slots: unlimitedSlots}
	largeFleet = fleetSize{routers: 62, engines: 90, shards: 1, slots: unlimitedSlots}
)

// fleet simulates routers that share the shards of one pool, in virtual time.
type fleet struct {
	fleetSize
	now      time.Time
	rng      *rand.Rand
	schedule []scheduledCall
	names    []ident.Router
	pools    []route.Pool
	members  []*member
	assigned *place.Assignment
	// held is the actual number of requests on each engine.
	held map[ident.TargetHash]int
	// overPromise and requests count since the last call of overRatio.
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
	// Routers start their periodic tasks at different times.
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

// directCaller makes one router's calls to homes without a network.
type directCaller struct {
	f    *fleet
	from *member
}

func (c directCaller) homesAt(to ident.Router) (*home.Homes, error) {
	if c.from.unanswered != nil && c.from.unanswered(to) {
		return nil, fault.New("test", home.Unreachable, nil)
	}
	return c.f.member(to).homes, nil
}

func (c directCaller) Place(ctx context.Context, to ident.Router, req home.PermitRequest, released []uint64) (home.PermitResponse, error) {
	// A response that arrives too late leaves its permit at the home.
	a := c.f.member(to).homes.Place(ctx, req, released)
	if _, err := c.homesAt(to); err != nil {
		return home.PermitResponse{}, err
	}
	return a, nil
}

func (c directCaller) Release(_ context.Context, to ident.Router, id place.ShardID, released []uint64) error {
	c.f.member(to).homes.Release(id, c.from.id, released)
	return nil
}

func (c directCaller) Sync(_ context.Context, to ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	h, err := c.homesAt(to)
	if err == nil {
		h.Sync(id, c.from.id, held, upto, from)
	}
	return err
}

func (c directCaller) Withdraw(_ context.Context, to ident.Router, id place.ShardID, upto uint64) error {
	h, err := c.homesAt(to)
	if err == nil {
		h.Withdraw(id, c.from.id, upto)
	}
	return err
}

func (c directCaller) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, nil
}

func (f *fleet) member(id ident.Router) *member {
	return f.members[slices.IndexFunc(f.members, func(m *member) bool { return m.id == id })]
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
		m := &member{id: name, assigned: f.assigned}
		m.homes = home.New(name, home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
		m.homes.SetPool(pool, fleetBound, p.Roster)
		m.router = route.New(route.Self{ID: name, Region: "co", AfterFunc: f.after}, directCaller{f, m}, clock)
		m.router.Set(f.pools, f.assigned)
		f.members = append(f.members, m)
		f.every(500*time.Millisecond, func() {
			m.homes.ExpirePermits()
			m.router.Reconcile(context.Background())
		})
		f.every(time.Second, func() { f.transferShards(m) })
		f.every(time.Second, func() { f.publish(m) })
		f.every(20*time.Millisecond, func() {
			select {
			case <-m.homes.Urgent():
				f.publish(m)
			default:
			}
		})
	}
	return f
}

// shardIDs returns the shards of the pool.
func (f *fleet) shardIDs() []place.ShardID {
	var out []place.ShardID
	for s := range f.shards {
		out = append(out, place.ShardID{Pool: pool, Shard: ident.Shard(s)})
	}
	return out
}

// setLive sets the routers that a member's membership view contains as live.
func (f *fleet) setLive(m *member, live []ident.Router) {
	m.assigned = place.Assign(f.shardIDs(), live)
	m.router.Move(context.Background(), m.router.Set(f.pools, m.assigned))
	f.transferShards(m)
}

// transferShards transfers the shards of which another router is home, as routers do.
func (f *fleet) transferShards(m *member) {
	for _, p := range m.homes.PendingTransfers(m.assigned.Home) {
		f.member(p.To).homes.Accept(p)
		m.homes.Moved(p.ID, p.To)
	}
}

func (f *fleet) publish(m *member) {
	for _, p := range m.homes.Publications(m.assigned, f.assigned) {
		for _, to := range p.To {
			d := p.Digest
			f.after(2*time.Millisecond, func() { f.member(to).homes.Merge([]place.Digest{d}) })
		}
	}
}

// traffic makes each router send requests: a third of them with one of three prompt prefixes, the
// others with one of 400.
func (f *fleet) traffic(every, duration time.Duration) {
	for _, m := range f.members {
		f.every(every, func() { f.request(m, duration) })
	}
}

func (f *fleet) request(m *member, duration time.Duration) {
	key := ident.ChatKey(1 + f.rng.IntN(400))
	if f.rng.IntN(3) == 0 {
		key = ident.ChatKey(1001 + f.rng.IntN(3))
	}
	p, err := m.router.Acquire(context.Background(), route.TargetRequest{Service: "judge", Key: key, Work: ident.OneRequest, Deadline: f.now})
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

// overRatio returns the ratio of requests that exceeded the promised bound since the last call.
func (f *fleet) overRatio() float64 {
	overRatio := float64(f.overPromise) / float64(max(f.requests, 1))
	f.overPromise, f.requests = 0, 0
	return overRatio
}
