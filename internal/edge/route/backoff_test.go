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
type fleetSim struct {
	now       time.Time
	homes     *home.Homes
	routers   []*route.Router
	rejecting map[ident.Target]bool
	// turned counts what was turned away, refused the requests that no engine took.
	rejected, failed, sent int
	deferred               []func()
}

// member reaches the homes in one router's name.
type simHomes struct {
	*fleetSim
	id ident.Router
}

func (m simHomes) Place(ctx context.Context, _ ident.Router, ask home.Ask, released []uint64) (home.Answer, error) {
	return m.homes.Place(ctx, ask, released), nil
}

func (m simHomes) Release(_ context.Context, _ ident.Router, id place.ShardID, released []uint64) error {
	m.homes.Release(id, m.id, released)
	return nil
}

func (m simHomes) Sync(_ context.Context, _ ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	m.homes.Sync(id, m.id, held, upto, from)
	return nil
}

func (m simHomes) Withdraw(_ context.Context, _ ident.Router, id place.ShardID, upto uint64) error {
	m.homes.Withdraw(id, m.id, upto)
	return nil
}

func (m simHomes) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, fault.New("test", home.Unreachable, nil)
}

// newCrowd starts routers before engines of which the first ones turn requests away.
func newFleetSim(routers, engines, rejecting int) *fleetSim {
	c := &fleetSim{now: time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC), rejecting: map[ident.Target]bool{}}
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
		c.rejecting[name] = i < rejecting
	}
	p.Roster = place.NewRoster(1, list)
	c.homes = home.New("a", home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) { return workspace, true })
	c.homes.SetPool(pool, bound, p.Roster)
	for i := range routers {
		name := ident.Router(fmt.Sprint("router-", i))
		r := route.New(route.Self{
			ID: name, Region: "co", AfterFunc: func(_ time.Duration, run func()) { c.deferred = append(c.deferred, run) },
		}, simHomes{c, name}, clock)
		r.Set([]route.Pool{p}, place.Assign([]place.ShardID{id}, []ident.Router{"a"}))
		c.routers = append(c.routers, r)
	}
	return c
}

const (
	// backoffFor is what a refusing engine asks for, modelFor how long it is refusing.
	backoffFor    = 3 * time.Second
	simulatedTime = 9 * time.Second
	// perSecond is how many requests one router gets; each takes a tenth of a second.
	requestsPerSecond = 10
	tick              = time.Second / requestsPerSecond
	// mayTurnAway is how many targets may turn one request away before its caller is refused.
	maxAttempts = 4
	// retryRatio is how many requests may reach a second target, of all; refusedRatio how many may be refused
	// while targets could serve them, one in 500 as for any wrong refusal.
	maxRetryRatio  = 0.2
	maxFailedRatio = 0.002
)

// play sends each router's requests, one a tick.
func (c *fleetSim) run() {
	for range int(simulatedTime / tick) {
		var open []*route.Placement
		for i, r := range c.routers {
			// Routers are not at it all at once.
			c.now = c.now.Add(tick / time.Duration(len(c.routers)))
			c.sent++
			if p := c.send(r, ident.ChatKey(c.sent+i)); p != nil {
				open = append(open, p)
			}
		}
		for _, p := range open {
			p.Release()
		}
		for len(c.deferred) > 0 {
			next := c.deferred[0]
			c.deferred = c.deferred[1:]
			next()
		}
	}
}

// send sends one request until an engine takes it, and returns its place there.
func (c *fleetSim) send(r *route.Router, key ident.ChatKey) *route.Placement {
	var avoid []ident.TargetHash
	for range maxAttempts {
		p, err := r.Acquire(context.Background(), route.Ask{Service: "judge", Key: key, Work: ident.OneRequest, Avoid: avoid})
		if err != nil {
			break
		}
		if !c.rejecting[p.Target.ID] {
			return p
		}
		c.rejected++
		r.Observe(p.Target, route.Notice{Backoff: backoffFor})
		avoid = append(avoid, p.Hash)
		p.Release()
	}
	c.failed++
	return nil
}

// At 300 routers each sees too few requests to learn of a refusing engine by itself: the backoff would be over before
// most have been turned away once. What their home hears from several keeps the others from trying, so that
// retries stay within their budget and hardly anybody is refused.
func TestRejectingEnginesCauseFewRetries(t *testing.T) {
	for _, c := range []struct{ routers, engines, rejecting int }{{8, 18, 5}, {60, 36, 12}, {300, 150, 45}} {
		m := newFleetSim(c.routers, c.engines, c.rejecting)
		m.run()
		t.Logf("%d routers: %d requests, %d turned away, %d refused", c.routers, m.sent, m.rejected, m.failed)
		if ratio := float64(m.rejected) / float64(m.sent); ratio > maxRetryRatio {
			t.Errorf("%d routers: %.3f of the requests reached an engine that turned them away, at most %.1f may", c.routers, ratio, maxRetryRatio)
		}
		if float64(m.failed) > maxFailedRatio*float64(m.sent) {
			t.Errorf("%d routers: %d of %d requests were refused although most engines take them", c.routers, m.failed, m.sent)
		}
	}
}

// asksForBackoff has the first start of a target ask this router for backoff.
func reportBackoff(r *route.Router, target ident.Target, wait time.Duration) {
	r.Observe(route.Target{ID: target, Incarnation: 1}, route.Notice{Backoff: wait})
}

// askFor asks for a place without waiting.
func acquireNow(r *route.Router) (*route.Placement, error) {
	return r.Acquire(context.Background(), route.Ask{Service: "judge", Key: 1, Work: ident.OneRequest})
}

// If every target wants no requests, the caller is refused at once, without a question to a home, and told when
// the first target takes some again.
func TestAllTargetsInBackoff(t *testing.T) {
	f, r, _ := newFleet()
	reportBackoff(r, "engine-1", 3*time.Second)
	reportBackoff(r, "engine-2", 2*time.Second)
	f.requested = nil
	_, err := acquireNow(r)
	if fault.KindOf[route.Kind](err) != route.BackingOff {
		t.Fatalf("got %v, want a refusal since all targets ask for backoff", err)
	}
	var retryAfter route.RetryAfter
	if !errors.As(err, &retryAfter) || retryAfter.Wait != 2*time.Second {
		t.Errorf("the caller is to come back in %v, want 2s", retryAfter.Wait)
	}
	if len(f.requested) != 0 {
		t.Errorf("homes were asked %d times", len(f.requested))
	}
	f.now = f.now.Add(2 * time.Second)
	if p, err := acquireNow(r); err != nil || p.Target.ID != "engine-2" {
		t.Errorf("got %+v, %v once the first backoff is over, want engine-2", p, err)
	}
}

// A backoff holds for one start of a target, through a row that comes and goes, and is never cut short by a later
// word; breakers and earlier failures of the request give way where they would leave nothing to try.
func TestBackoffAppliesToOneIncarnation(t *testing.T) {
	f, r, assigned := newFleet()
	rejecting, other := ident.Target("engine-1").Hash(), ident.Target("engine-2").Hash()
	reportBackoff(r, "engine-1", 3*time.Second)
	reportBackoff(r, "engine-1", time.Second)
	without := f.pools[0]
	without.Roster = without.Roster.With(nil, []ident.TargetHash{rejecting})
	r.Set([]route.Pool{without}, assigned)
	r.Set(f.pools, assigned)
	r.Unreachable(other)
	f.now = f.now.Add(2 * time.Second)
	for _, avoid := range [][]ident.TargetHash{nil, {other}, {rejecting, other}} {
		p, err := r.Acquire(context.Background(), route.Ask{Service: "judge", Key: 1, Work: ident.OneRequest, Avoid: avoid})
		if err != nil || p.Target.ID != "engine-2" {
			t.Errorf("avoiding %v: got %+v, %v, want engine-2", avoid, p, err)
		}
	}
	restarted := f.pools[0]
	restarted.Roster = restarted.Roster.With([]place.Engine{{ID: "engine-1", Hash: rejecting, Incarnation: 2}}, nil)
	r.Set([]route.Pool{restarted}, assigned)
	if left := r.BackoffLeft(route.Target{ID: "engine-1", Incarnation: 2}); left != 0 {
		t.Errorf("a target that has started anew wants no requests for %v", left)
	}
	used := false
	for key := range ident.ChatKey(10) {
		p := acquire(t, r, key)
		used = used || p.Hash == rejecting
		p.Release()
	}
	if !used {
		t.Error("a target that has started anew gets nothing")
	}
}

// A home that does not answer hears of backoffs with the next ask that it answers, with what is left of them.
func TestBackoffsAreResentAfterHomeFailure(t *testing.T) {
	f, r, assigned := newFleet()
	reportBackoff(r, "engine-1", 3*time.Second)
	f.dropResponses = true
	acquire(t, r, 1).Release()
	f.dropResponses = false
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
func TestBackoffReceivedWhileRequestWaits(t *testing.T) {
	f, r, _ := newFleet()
	rejecting := ident.Target("engine-1").Hash()
	f.onPlace = func() { reportBackoff(r, "engine-1", time.Second) }
	for key := range ident.ChatKey(4) {
		if p := acquire(t, r, key); p.Hash == rejecting {
			t.Errorf("chat %d was sent to a target that asked for backoff while the chat waited", key)
		}
	}
}
