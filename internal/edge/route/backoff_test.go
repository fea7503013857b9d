package route_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

// crowd is many routers over the homes of one pool, of whose engines some turn all requests away.
type crowd struct {
	now      time.Time
	homes    *home.Homes
	routers  []*route.Router
	refusing map[ident.Target]bool
	// turned counts what was turned away, refused the requests that no engine took.
	turned, refused, asked int
	later                  []func()
}

// member reaches the homes in one router's name.
type member struct {
	*crowd
	id ident.Router
}

func (m member) Place(ctx context.Context, _ ident.Router, ask home.Ask, released []uint64) (home.Answer, error) {
	return m.homes.Place(ctx, ask, released), nil
}

func (m member) Release(_ context.Context, _ ident.Router, id place.ShardID, released []uint64) error {
	m.homes.Release(id, m.id, released)
	return nil
}

func (m member) Sync(_ context.Context, _ ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	m.homes.Sync(id, m.id, held, upto, from)
	return nil
}

func (m member) Withdraw(_ context.Context, _ ident.Router, id place.ShardID, upto uint64) error {
	m.homes.Withdraw(id, m.id, upto)
	return nil
}

func (m member) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, fault.New("test", home.Unreachable, nil)
}

// newCrowd starts routers before engines of which the first ones turn requests away.
func newCrowd(routers, engines, refusing int) *crowd {
	c := &crowd{now: time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC), refusing: map[ident.Target]bool{}}
	clock := func() time.Time { return c.now }
	bound := place.BoundOf(2)
	bound.Steady = 1.3
	p := route.Pool{
		Name: pool, Region: "co", Bound: bound,
		Service: policy.Service{Name: "judge", Balance: policy.Exact, Shards: 1},
	}
	var list []place.Engine
	for i := range engines {
		name := ident.Target(fmt.Sprint("engine-", i))
		list = append(list, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Slots: 64 * ident.OneRequest})
		c.refusing[name] = i < refusing
	}
	p.Roster = place.NewRoster(1, list)
	c.homes = home.New("a", home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) { return workspace, true })
	c.homes.SetPool(pool, bound, p.Roster)
	for i := range routers {
		name := ident.Router(fmt.Sprint("router-", i))
		r := route.New(route.Self{
			ID: name, Region: "co", AfterFunc: func(_ time.Duration, run func()) { c.later = append(c.later, run) },
		}, member{c, name}, clock)
		r.Set([]route.Pool{p}, place.Assign([]place.ShardID{id}, []ident.Router{"a"}))
		c.routers = append(c.routers, r)
	}
	return c
}

const (
	// backoffFor is what a refusing engine asks for, modelFor how long it is refusing.
	backoffFor = 3 * time.Second
	modelFor   = 9 * time.Second
	// perSecond is how many requests one router gets; each takes a tenth of a second.
	perSecond = 10
	tick      = time.Second / perSecond
	// mayTurnAway is how many targets may turn one request away before its caller is refused.
	mayTurnAway = 4
	// retryRatio is how many requests may reach a second target, of all; refusedRatio how many may be refused
	// while targets could serve them, one in 500 as for any wrong refusal.
	retryRatio   = 0.2
	refusedRatio = 0.002
)

// play sends each router's requests, one a tick.
func (c *crowd) play() {
	for range int(modelFor / tick) {
		var open []*route.Placement
		for i, r := range c.routers {
			// Routers are not at it all at once.
			c.now = c.now.Add(tick / time.Duration(len(c.routers)))
			c.asked++
			if p := c.send(r, ident.ChatKey(c.asked+i)); p != nil {
				open = append(open, p)
			}
		}
		for _, p := range open {
			p.Release()
		}
		for len(c.later) > 0 {
			next := c.later[0]
			c.later = c.later[1:]
			next()
		}
	}
}

// send sends one request until an engine takes it, and returns its place there.
func (c *crowd) send(r *route.Router, key ident.ChatKey) *route.Placement {
	var avoid []ident.TargetHash
	for range mayTurnAway {
		p, err := r.Acquire(context.Background(), route.Ask{Service: "judge", Key: key, Work: ident.OneRequest, Avoid: avoid})
		if err != nil {
			break
		}
		if !c.refusing[p.Target.ID] {
			return p
		}
		c.turned++
		r.Observe(p.Target, route.Notice{Backoff: backoffFor})
		avoid = append(avoid, p.Hash)
		p.Release()
	}
	c.refused++
	return nil
}

// At 300 routers each sees too few requests to learn of a refusing engine by itself: the backoff would be over before
// most have been turned away once. What their home hears from several keeps the others from trying, so that
// retries stay within their budget and hardly anybody is refused.
func TestRefusingEnginesCostFewRetries(t *testing.T) {
	for _, c := range []struct{ routers, engines, refusing int }{{8, 18, 5}, {60, 36, 12}, {300, 150, 45}} {
		m := newCrowd(c.routers, c.engines, c.refusing)
		m.play()
		t.Logf("%d routers: %d requests, %d turned away, %d refused", c.routers, m.asked, m.turned, m.refused)
		if share := float64(m.turned) / float64(m.asked); share > retryRatio {
			t.Errorf("%d routers: %.3f of the requests reached an engine that turned them away, at most %.1f may", c.routers, share, retryRatio)
		}
		if float64(m.refused) > refusedRatio*float64(m.asked) {
			t.Errorf("%d routers: %d of %d requests were refused although most engines take them", c.routers, m.refused, m.asked)
		}
	}
}

// asksForBackoff has the first start of a target ask this router for backoff.
func asksForBackoff(r *route.Router, target ident.Target, wait time.Duration) {
	r.Observe(route.Target{ID: target, Incarnation: 1}, route.Notice{Backoff: wait})
}

// askFor asks for a place without waiting.
func askFor(r *route.Router) (*route.Placement, error) {
	return r.Acquire(context.Background(), route.Ask{Service: "judge", Key: 1, Work: ident.OneRequest})
}

// If every target wants no requests, the caller is refused at once, without a question to a home, and told when
// the first target takes some again.
func TestAllTargetsAskForBackoff(t *testing.T) {
	f, r, _ := newFleet()
	asksForBackoff(r, "engine-1", 3*time.Second)
	asksForBackoff(r, "engine-2", 2*time.Second)
	f.asked = nil
	_, err := askFor(r)
	if fault.KindOf[route.Kind](err) != route.BackingOff {
		t.Fatalf("got %v, want a refusal since all targets ask for backoff", err)
	}
	var later route.RetryAfter
	if !errors.As(err, &later) || later.Wait != 2*time.Second {
		t.Errorf("the caller is to come back in %v, want 2s", later.Wait)
	}
	if len(f.asked) != 0 {
		t.Errorf("homes were asked %d times", len(f.asked))
	}
	f.now = f.now.Add(2 * time.Second)
	if p, err := askFor(r); err != nil || p.Target.ID != "engine-2" {
		t.Errorf("got %+v, %v once the first backoff is over, want engine-2", p, err)
	}
}

// A backoff holds for one start of a target, through a row that comes and goes, and is never cut short by a later
// word; breakers and earlier failures of the request give way where they would leave nothing to try.
func TestBackoffsAreKept(t *testing.T) {
	f, r, assigned := newFleet()
	refusing, other := ident.Target("engine-1").Hash(), ident.Target("engine-2").Hash()
	asksForBackoff(r, "engine-1", 3*time.Second)
	asksForBackoff(r, "engine-1", time.Second)
	without := f.pools[0]
	without.Roster = without.Roster.With(nil, []ident.TargetHash{refusing})
	r.Set([]route.Pool{without}, assigned)
	r.Set(f.pools, assigned)
	r.Unreachable(other)
	f.now = f.now.Add(2 * time.Second)
	for _, avoid := range [][]ident.TargetHash{nil, {other}, {refusing, other}} {
		p, err := r.Acquire(context.Background(), route.Ask{Service: "judge", Key: 1, Work: ident.OneRequest, Avoid: avoid})
		if err != nil || p.Target.ID != "engine-2" {
			t.Errorf("avoiding %v: got %+v, %v, want engine-2", avoid, p, err)
		}
	}
	again := f.pools[0]
	again.Roster = again.Roster.With([]place.Engine{{ID: "engine-1", Hash: refusing, Incarnation: 2}}, nil)
	r.Set([]route.Pool{again}, assigned)
	if left := r.BackoffLeft(route.Target{ID: "engine-1", Incarnation: 2}); left != 0 {
		t.Errorf("a target that has started anew wants no requests for %v", left)
	}
	used := false
	for key := range ident.ChatKey(10) {
		p := acquire(t, r, key)
		used = used || p.Hash == refusing
		p.Release()
	}
	if !used {
		t.Error("a target that has started anew gets nothing")
	}
}

// A home that does not answer hears of backoffs with the next ask that it answers, with what is left of them.
func TestBackoffsOutliveASilentHome(t *testing.T) {
	f, r, assigned := newFleet()
	asksForBackoff(r, "engine-1", 3*time.Second)
	f.loseAnswers = true
	acquire(t, r, 1).Release()
	f.loseAnswers = false
	f.backoffs = nil
	f.now = f.now.Add(time.Second)
	r.Returned(assigned.Home(id))
	acquire(t, r, 2).Release()
	want := []place.Backoff{{Engine: ident.Target("engine-1").Hash(), Left: 2 * time.Second}}
	if diff := cmp.Diff(want, f.backoffs); diff != "" {
		t.Error(diff)
	}
}

// A request that waited for its place while the target asked for backoff is not sent there.
func TestBackoffWhileARequestWaits(t *testing.T) {
	f, r, _ := newFleet()
	refusing := ident.Target("engine-1").Hash()
	f.placing = func() { asksForBackoff(r, "engine-1", time.Second) }
	for key := range ident.ChatKey(4) {
		if p := acquire(t, r, key); p.Hash == refusing {
			t.Errorf("chat %d was sent to a target that asked for backoff while the chat waited", key)
		}
	}
}
