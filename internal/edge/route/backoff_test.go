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

// fleetSim simulates many routers and the homes of one pool, some of whose engines reject all
// requests.
type fleetSim struct {
	now       time.Time
	homes     *home.Homes
	routers   []*route.Router
	rejecting map[ident.Target]bool
	// rejected counts the rejections by engines, failed the requests that no engine accepted.
	rejected, failed, sent int
	deferred               []func()
}

// simHomes calls the homes on behalf of one router.
type simHomes struct {
	*fleetSim
	id ident.Router
}

func (m simHomes) Place(ctx context.Context, _ ident.Router, request home.PermitRequest, released []uint64) (home.PermitResponse, error) {
	return m.homes.Place(ctx, request, released), nil
}

func (m simHomes) Release(_ context.Context, _ ident.Router, id place.ShardID, released []uint64) error {
	m.homes.Release(id, m.id, released)
	return nil
}

func (m simHomes) Sync(_ context.Context, _ ident.Router, id place.ShardID, held []place.Permit, maxID uint64, from ident.Router) error {
	m.homes.Sync(id, m.id, held, maxID, from)
	return nil
}

func (m simHomes) Withdraw(_ context.Context, _ ident.Router, id place.ShardID, maxID uint64) error {
	m.homes.Withdraw(id, m.id, maxID)
	return nil
}

func (m simHomes) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, fault.New("test", home.Unreachable, nil)
}

// newFleetSim returns routers and engines, of which the first ones reject requests.
func newFleetSim(routers, engines, rejecting int) *fleetSim {
	c := &fleetSim{now: time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC), rejecting: map[ident.Target]bool{}}
	clock := func() time.Time { return c.now }
	bound := place.BoundOf(2)
	bound.PreferredFactor = 1.3
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
	// backoffFor is the Retry-After delay of a rejecting engine, simulatedTime the length of the
	// simulation.
	backoffFor    = 3 * time.Second
	simulatedTime = 9 * time.Second
	// requestsPerSecond is the request rate of one router. Each request takes 100 ms.
	requestsPerSecond = 10
	tick              = time.Second / requestsPerSecond
	// maxAttempts is how many targets may reject one request before the request fails.
	maxAttempts = 4
	// maxRetryRatio is the maximum ratio of requests that reach a second target. maxFailedRatio is
	// the maximum ratio of requests that fail while targets could serve them: 1 in 500, as for any
	// wrong rejection.
	maxRetryRatio  = 0.2
	maxFailedRatio = 0.002
)

// run sends one request per router and tick.
func (c *fleetSim) run() {
	for range int(simulatedTime / tick) {
		var open []*route.Placement
		for i, r := range c.routers {
			// Spread the routers' requests over the tick.
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

// send sends one request until an engine accepts it, and returns the placement there.
func (c *fleetSim) send(r *route.Router, key ident.ChatKey) *route.Placement {
	var avoid []ident.TargetHash
	for range maxAttempts {
		p, err := r.Acquire(context.Background(), route.TargetRequest{Service: "judge", Key: key, Work: ident.OneRequest, Avoid: avoid})
		if err != nil {
			break
		}
		if !c.rejecting[p.Target.ID] {
			return p
		}
		c.rejected++
		r.ReportNotice(p.Target, route.Notice{Backoff: backoffFor})
		avoid = append(avoid, p.Hash)
		p.Release()
	}
	c.failed++
	return nil
}

// Guards against retries and failures caused by engines that reject requests. At 300 routers each
// router sends too few requests to discover a rejecting engine by itself: the backoff would end
// before most routers have been rejected once. The home aggregates the reported backoffs, so that
// retries stay within their budget and nearly all requests are served.
func TestRejectingEnginesCauseFewRetries(t *testing.T) {
	for _, c := range []struct{ routers, engines, rejecting int }{{8, 18, 5}, {60, 36, 12}, {300, 150, 45}} {
		m := newFleetSim(c.routers, c.engines, c.rejecting)
		m.run()
		t.Logf("%d routers: %d requests, %d rejections by engines, %d failed requests", c.routers, m.sent, m.rejected, m.failed)
		if ratio := float64(m.rejected) / float64(m.sent); ratio > maxRetryRatio {
			t.Errorf("%d routers: %.3f of the requests were rejected by an engine, want at most %.1f", c.routers, ratio, maxRetryRatio)
		}
		if float64(m.failed) > maxFailedRatio*float64(m.sent) {
			t.Errorf("%d routers: %d of %d requests failed although most engines accept them", c.routers, m.failed, m.sent)
		}
	}
}

// reportBackoff reports a backoff of the first incarnation of a target.
func reportBackoff(r *route.Router, target ident.Target, wait time.Duration) {
	r.ReportNotice(route.Target{ID: target, Incarnation: 1}, route.Notice{Backoff: wait})
}

// acquireNow requests a placement without waiting.
func acquireNow(r *route.Router) (*route.Placement, error) {
	return r.Acquire(context.Background(), route.TargetRequest{Service: "judge", Key: 1, Work: ident.OneRequest})
}

// If all targets are in backoff, the request is rejected at once without a permit request, with the
// time until the first backoff ends.
func TestAllTargetsInBackoff(t *testing.T) {
	f, r, _ := newFleet()
	reportBackoff(r, "engine-1", 3*time.Second)
	reportBackoff(r, "engine-2", 2*time.Second)
	f.requested = nil
	_, err := acquireNow(r)
	if fault.KindOf[route.Kind](err) != route.BackingOff {
		t.Fatalf("got %v, want a rejection since all targets are in backoff", err)
	}
	var retryAfter route.RetryAfter
	if !errors.As(err, &retryAfter) || retryAfter.Wait != 2*time.Second {
		t.Errorf("Retry-After delay %v, want 2s", retryAfter.Wait)
	}
	if len(f.requested) != 0 {
		t.Errorf("%d permit requests were sent, want none", len(f.requested))
	}
	f.now = f.now.Add(2 * time.Second)
	if p, err := acquireNow(r); err != nil || p.Target.ID != "engine-2" {
		t.Errorf("got %+v, %v after the first backoff, want engine-2", p, err)
	}
}

// A backoff applies to one incarnation of a target. It survives the removal and return of the
// target's row, and a later, shorter backoff does not cut it short. Circuit breakers and failures
// of the same request are ignored where they would leave no target.
func TestBackoffAppliesToOneIncarnation(t *testing.T) {
	f, r, assigned := newFleet()
	rejecting, other := ident.Target("engine-1").Hash(), ident.Target("engine-2").Hash()
	reportBackoff(r, "engine-1", 3*time.Second)
	reportBackoff(r, "engine-1", time.Second)
	without := f.pools[0]
	without.Roster = without.Roster.With(nil, []ident.TargetHash{rejecting})
	r.Set([]route.Pool{without}, assigned)
	r.Set(f.pools, assigned)
	r.ReportUnreachable(other)
	f.now = f.now.Add(2 * time.Second)
	for _, avoid := range [][]ident.TargetHash{nil, {other}, {rejecting, other}} {
		p, err := r.Acquire(context.Background(), route.TargetRequest{Service: "judge", Key: 1, Work: ident.OneRequest, Avoid: avoid})
		if err != nil || p.Target.ID != "engine-2" {
			t.Errorf("avoiding %v: got %+v, %v, want engine-2", avoid, p, err)
		}
	}
	restarted := f.pools[0]
	restarted.Roster = restarted.Roster.With([]place.Engine{{ID: "engine-1", Hash: rejecting, Incarnation: 2}}, nil)
	r.Set([]route.Pool{restarted}, assigned)
	if left := r.BackoffLeft(route.Target{ID: "engine-1", Incarnation: 2}); left != 0 {
		t.Errorf("backoff of %v for a target that has restarted, want none", left)
	}
	used := false
	for key := range ident.ChatKey(10) {
		p := acquire(t, r, key)
		used = used || p.Hash == rejecting
		p.Release()
	}
	if !used {
		t.Error("a target that has restarted gets no requests")
	}
}

// Backoffs are sent again with the next permit request after a home did not respond, with the
// remaining time.
func TestBackoffsAreResentAfterHomeFailure(t *testing.T) {
	f, r, assigned := newFleet()
	reportBackoff(r, "engine-1", 3*time.Second)
	f.dropResponses = true
	acquire(t, r, 1).Release()
	f.dropResponses = false
	f.backoffs = nil
	f.now = f.now.Add(time.Second)
	r.ResetHome(assigned.Home(id))
	acquire(t, r, 2).Release()
	want := []place.Backoff{{Engine: ident.Target("engine-1").Hash(), Left: 2 * time.Second}}
	if diff := cmp.Diff(want, f.backoffs); diff != "" {
		t.Error(diff)
	}
}

// A request is not sent to a target that reported a backoff while the request waited for its
// permit.
func TestBackoffReceivedWhileRequestWaits(t *testing.T) {
	f, r, _ := newFleet()
	rejecting := ident.Target("engine-1").Hash()
	f.onPlace = func() { reportBackoff(r, "engine-1", time.Second) }
	for key := range ident.ChatKey(4) {
		if p := acquire(t, r, key); p.Hash == rejecting {
			t.Errorf("chat %d was sent to a target that reported a backoff while the chat waited", key)
		}
	}
}
