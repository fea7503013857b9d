package home_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
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
	splitSlots = 200
	// splitFactor and splitExtra are what callers were promised: no request reaches an engine
	// that holds more than factor times the mean and some more.
	splitFactor = 2
	splitExtra  = 3
)

// splitBound is the bound that homes keep, a little below the promise.
var splitBound = place.Bound{
	Factor: 0.95 * splitFactor, Extra: 5 * ident.OneRequest / 2, Steady: 1.3, DigestLife: 4 * time.Second, Places: 10_000,
}

// box is one router and the homes it runs.
type box struct {
	id     ident.Router
	homes  *home.Homes
	router *route.Router
	// deaf says whether this router's calls to a home go unanswered now.
	deaf func(to ident.Router) bool
}

// size is how many routers share how many engines.
type size struct{ routers, engines int }

var (
	smallFleet = size{routers: 7, engines: 18}
	largeFleet = size{routers: 62, engines: 90}
)

// splitFleet is some routers that share one shard, in time that the test moves.
type splitFleet struct {
	size
	now      time.Time
	rng      *rand.Rand
	due      []dueCall
	boxes    []*box
	assigned *place.Assignment
	// held is what each engine really holds.
	held map[ident.TargetHash]int
	// over and all count the requests since the last look.
	over, all int
}

type dueCall struct {
	at   time.Time
	call func()
}

func (f *splitFleet) after(d time.Duration, call func()) {
	next := dueCall{at: f.now.Add(d), call: call}
	i, _ := slices.BinarySearchFunc(f.due, next, func(a, b dueCall) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.due = slices.Insert(f.due, i, next)
}

func (f *splitFleet) every(d time.Duration, call func()) {
	var again func()
	again = func() {
		call()
		f.after(d, again)
	}
	// Routers start their rounds at different times.
	f.after(time.Duration(f.rng.Int64N(int64(d))), again)
}

func (f *splitFleet) runFor(d time.Duration) {
	until := f.now.Add(d)
	for len(f.due) > 0 && !f.due[0].at.After(until) {
		next := f.due[0]
		f.due = f.due[1:]
		f.now = next.at
		next.call()
	}
	f.now = until
}

// wire is one router's calls to homes.
type wire struct {
	f    *splitFleet
	from *box
}

func (w wire) homesAt(to ident.Router) (*home.Homes, error) {
	if w.from.deaf != nil && w.from.deaf(to) {
		return nil, fault.New("test", home.Unreachable, nil)
	}
	return w.f.box(to).homes, nil
}

func (w wire) Place(ctx context.Context, to ident.Router, ask home.Ask, released []uint64) (home.Answer, error) {
	// An answer that comes too late leaves its permit behind.
	a := w.f.box(to).homes.Place(ctx, ask, released)
	if _, err := w.homesAt(to); err != nil {
		return home.Answer{}, err
	}
	return a, nil
}

func (w wire) Release(_ context.Context, to ident.Router, id place.ShardID, released []uint64) error {
	w.f.box(to).homes.Release(id, w.from.id, released)
	return nil
}

func (w wire) Sync(_ context.Context, to ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	h, err := w.homesAt(to)
	if err == nil {
		h.Sync(id, w.from.id, held, upto, from)
	}
	return err
}

func (w wire) Withdraw(_ context.Context, to ident.Router, id place.ShardID, upto uint64) error {
	h, err := w.homesAt(to)
	if err == nil {
		h.Withdraw(id, w.from.id, upto)
	}
	return err
}

func (w wire) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, nil
}

func (f *splitFleet) box(id ident.Router) *box {
	return f.boxes[slices.IndexFunc(f.boxes, func(b *box) bool { return b.id == id })]
}

func newSplitFleet(seed uint64, of size) *splitFleet {
	f := &splitFleet{
		size: of, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(seed, 1)), held: map[ident.TargetHash]int{},
	}
	clock := func() time.Time { return f.now }
	p := route.Pool{
		Name: pool, Region: "co", Targets: map[ident.TargetHash]route.Target{}, Bound: splitBound,
		Service: policy.Service{Name: "judge", Balance: policy.Exact, Shards: 1},
	}
	for i := range f.engines {
		name := ident.Target("engine-" + strconv.Itoa(i))
		p.Engines = append(p.Engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Slots: splitSlots * ident.OneRequest})
		p.Targets[name.Hash()] = route.Target{ID: name, Incarnation: 1}
	}
	var names []ident.Router
	for i := range f.routers {
		names = append(names, ident.Router("router-"+strconv.Itoa(i)))
	}
	f.assigned = place.Assign([]place.ShardID{id}, names)
	for _, name := range names {
		b := &box{id: name}
		b.homes = home.New(name, home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
		b.homes.SetPool(pool, 1, splitBound, p.Engines)
		b.router = route.New(route.Self{ID: name, Region: "co", AfterFunc: f.after}, wire{f, b}, clock)
		b.router.Set([]route.Pool{p}, f.assigned)
		f.boxes = append(f.boxes, b)
		f.every(500*time.Millisecond, func() {
			b.homes.Lapse()
			b.router.Reconcile(context.Background())
		})
		f.every(time.Second, func() { f.handOff(b) })
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

// handOff passes on what a box counts that another is home of, as routers do.
func (f *splitFleet) handOff(b *box) {
	for _, p := range b.homes.Misplaced(f.assigned.Home) {
		f.box(p.To).homes.Accept(p)
		b.homes.Moved(p.ID, p.To)
	}
}

func (f *splitFleet) publish(b *box) {
	for _, p := range b.homes.Publications(f.assigned, f.assigned) {
		for _, to := range p.To {
			d := p.Digest
			f.after(2*time.Millisecond, func() { f.box(to).homes.Merge([]place.Digest{d}) })
		}
	}
}

// traffic has each router send requests: a third of them about a few subjects, the others
// about many.
func (f *splitFleet) traffic(every, lasts time.Duration) {
	for _, b := range f.boxes {
		f.every(every, func() { f.request(b, lasts) })
	}
}

func (f *splitFleet) request(b *box, lasts time.Duration) {
	key := ident.ChatKey(1 + f.rng.IntN(400))
	if f.rng.IntN(3) == 0 {
		key = ident.ChatKey(1001 + f.rng.IntN(3))
	}
	p, err := b.router.Acquire(context.Background(), route.Ask{Service: "judge", Key: key, Work: ident.OneRequest, Deadline: f.now})
	if err != nil {
		return
	}
	f.all++
	if float64(f.held[p.Hash]) > splitFactor*float64(f.total())/float64(f.engines)+splitExtra {
		f.over++
	}
	f.held[p.Hash]++
	f.after(lasts/2+time.Duration(f.rng.Int64N(int64(lasts))), func() {
		f.held[p.Hash]--
		p.Release()
	})
}

// share returns which part of the requests since the last look went above the promise.
func (f *splitFleet) share() float64 {
	share := float64(f.over) / float64(max(f.all, 1))
	f.over, f.all = 0, 0
	return share
}

// allowedOver is the part of the requests that may go above the promise.
const allowedOver = 0.03

// Seen: for five seconds after a surge 3 to 8 in 100 requests reached engines that held over twice the
// mean, some three times. How: the home of 18 engines was short of processor time, so that
// some routers passed it over and asked the next in line while others still asked it. Cause:
// the stand-in handed all permits to the home each second, but their routers went on telling
// the stand-in what they held and giving permits back to it. So the home counted them
// for as long as that lasted, and each hand-over added more. Proof: the home counted 26 to 30
// requests an engine where 11 were, and here twice the truth after 8 s; with the mean the
// bound was too high.
func TestBoundWhileOneRouterAsksAnotherHome(t *testing.T) {
	for seed := range uint64(5) {
		f := newSplitFleet(seed, smallFleet)
		first := f.split(t, seed)
		other := f.otherThan(first, f.assigned.Next(id, first))
		other.deaf = func(to ident.Router) bool { return to == first }
		f.expectBound(t, seed)
	}
}

// The home answers each router now and then, so that all change between it and the next in line.
func TestBoundWhileRoutersChangeHomes(t *testing.T) {
	for seed := range uint64(5) {
		f := newSplitFleet(seed, smallFleet)
		first := f.split(t, seed)
		for _, b := range f.boxes {
			if b.id != first {
				b.deaf = func(to ident.Router) bool { return to == first && f.rng.IntN(20) == 0 }
			}
		}
		f.expectBound(t, seed)
	}
}

// Seen: in the model alone, a third of the requests above the promise. How: 62 routers reach no home and
// decide alone. Cause: each takes an engine on which it has nothing for empty, and all take the
// same one for a subject, so that each may send its first request of a popular one there.
// Proof: an engine's part of 62 routers is a third of a request each; rounding it up makes 62.
func TestBoundWithoutHomes(t *testing.T) {
	for seed := range uint64(3) {
		f := newSplitFleet(seed, largeFleet)
		for _, b := range f.boxes {
			b.deaf = func(to ident.Router) bool { return to != b.id }
		}
		f.traffic(80*time.Millisecond, 700*time.Millisecond)
		f.runFor(3 * time.Second)
		f.share()
		f.runFor(5 * time.Second)
		if share := f.share(); share > allowedOver {
			t.Errorf("seed %d: %.3f of the requests above the promise", seed, share)
		}
	}
}

// split starts the traffic and returns the home that some routers are to pass over.
func (f *splitFleet) split(t *testing.T, seed uint64) ident.Router {
	t.Helper()
	f.traffic(25*time.Millisecond, 400*time.Millisecond)
	f.runFor(3 * time.Second)
	if share := f.share(); share > allowedOver {
		t.Errorf("seed %d: %.3f of the requests above the promise with one home", seed, share)
	}
	return f.assigned.Home(id)
}

// otherThan returns a box that is none of some.
func (f *splitFleet) otherThan(not ...ident.Router) *box {
	return f.boxes[slices.IndexFunc(f.boxes, func(b *box) bool { return !slices.Contains(not, b.id) })]
}

// expectBound watches the promise and the home's count while routers disagree.
func (f *splitFleet) expectBound(t *testing.T, seed uint64) {
	t.Helper()
	f.runFor(3 * time.Second)
	f.share()
	f.runFor(5 * time.Second)
	if share := f.share(); share > allowedOver {
		t.Errorf("seed %d: %.3f of the requests above the promise", seed, share)
	}
	permits, _ := f.box(f.assigned.Home(id)).homes.InFlight()
	if held := f.total(); permits > held*3/2 {
		t.Errorf("seed %d: the home counts %d permits, and %d are held", seed, permits, held)
	}
}

// total is what all engines hold.
func (f *splitFleet) total() int {
	total := 0
	for _, n := range f.held {
		total += n
	}
	return total
}
