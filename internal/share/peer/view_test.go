package peer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// fleet is routers that exchange digests round by round, through the wire's form.
type fleet struct {
	t       *testing.T
	now     time.Time
	views   []*peer.View
	ids     []ident.Router
	rng     *rand.Rand
	cut     func(a, b int) bool
	largest int
	bytes   int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: start, rng: rand.New(rand.NewPCG(1, 1)), cut: func(int, int) bool { return false }}
	for i := range n {
		id := ident.Router(fmt.Sprintf("router-%03d", i))
		self := peer.Member{
			ID: id, Addr: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250), Region: ident.Region(fmt.Sprint("region-", i%5)), Incarnation: 1,
		}
		f.ids = append(f.ids, id)
		f.views = append(f.views, peer.NewView(start, self, peer.DefaultLimits))
	}
	// All know all from the platform's list, as routers that start do.
	var list []boxes.Box
	for _, v := range f.views {
		m := v.Self()
		list = append(list, boxes.Box{ID: string(m.ID), Role: boxes.RouterRole, Addr: m.Addr, Region: m.Region, State: boxes.Live})
	}
	for _, v := range f.views {
		v.ObserveList(start, list)
	}
	return f
}

// wire sends a digest through its encoding.
func (f *fleet) wire(d peer.Digest) peer.Digest {
	data, err := proto.Marshal(peer.Encode(time.Time{}, d))
	if err != nil {
		f.t.Fatal(err)
	}
	f.largest = max(f.largest, len(data))
	f.bytes += len(data)
	var m peerpb.Digest
	if err := proto.Unmarshal(data, &m); err != nil {
		f.t.Fatal(err)
	}
	return peer.Decode(time.Time{}, &m)
}

// exchange is one call from a to b.
func (f *fleet) exchange(a, b int) {
	if f.cut(a, b) {
		f.views[a].ContactFailed(f.now, f.ids[b])
		return
	}
	f.deliver(a, b, false)
	f.deliver(b, a, false)
}

func (f *fleet) deliver(from, to int, whole bool) {
	news := f.views[to].Incoming(f.now, f.wire(f.views[from].Outgoing(f.ids[to], whole)))
	if news.SendWhole && !whole {
		f.deliver(to, from, true)
	}
}

// index finds a router by its id.
func (f *fleet) index(id ident.Router) int { return slices.Index(f.ids, id) }

// round lets a second pass in which each router calls one other.
func (f *fleet) round() {
	f.now = f.now.Add(time.Second)
	for a := range f.views {
		f.views[a].Tick(f.now)
		for _, m := range f.views[a].Pick(f.rng, 1) {
			f.exchange(a, f.index(m.ID))
		}
	}
}

// until counts the rounds until something holds.
func (f *fleet) until(what string, limit int, holds func() bool) int {
	f.t.Helper()
	for n := range limit + 1 {
		if holds() {
			return n
		}
		f.round()
	}
	f.t.Fatalf("not within %d rounds: %s", limit, what)
	return 0
}

func (f *fleet) all(holds func(*peer.View) bool) func() bool {
	return func() bool {
		for _, v := range f.views {
			if !holds(v) {
				return false
			}
		}
		return true
	}
}

// push lets a router that has just heard of a head tell some others at once, as
// routers do, and returns the number of hops until nobody hears anything new.
func (f *fleet) push(from int) int {
	hops := 0
	for fresh := []int{from}; len(fresh) > 0; hops++ {
		var next []int
		for _, a := range fresh {
			for _, m := range f.views[a].Pick(f.rng, peer.DefaultPace.Fanout) {
				b := f.index(m.ID)
				before := f.views[b].Head()
				f.exchange(a, b)
				if f.views[b].Head() > before {
					f.views[b].SetRevision(f.views[b].Head())
					next = append(next, b)
				}
			}
		}
		fresh = next
	}
	return hops
}

// TestSpread counts the rounds, which are seconds, in which a revision is in force
// everywhere and acknowledged at its origin.
func TestSpread(t *testing.T) {
	for _, n := range []int{8, 400} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			f := newFleet(t, n)
			f.until("all know all", 60, f.all(func(v *peer.View) bool {
				for _, m := range v.Members() {
					if m.Incarnation == 0 {
						return false
					}
				}
				return true
			}))
			f.largest = 0
			f.views[0].SetRevision(7)
			hops := f.push(0)
			reached := 0
			for _, v := range f.views {
				if v.Head() == 7 {
					reached++
				}
			}
			acknowledged := func() bool {
				for _, v := range f.views {
					v.SetRevision(v.Head())
				}
				return len(f.views[0].Outstanding(7)) == 0
			}
			const most = 6
			rounds := f.until("in force everywhere and acknowledged", most, func() bool {
				for range 2 * peer.DefaultPace.Fanout {
					f.exchange(0, f.rng.IntN(n))
				}
				return acknowledged()
			})
			t.Logf("pushed to %d of %d routers in %d hops, acknowledged by all after %d more rounds, largest digest %d bytes",
				reached, n, hops, rounds, f.largest)
			if f.largest > 1200 {
				t.Errorf("a digest has %d bytes", f.largest)
			}
		})
	}
}

// Without the push ahead of them, rounds alone bring a head to everybody.
func TestHeadByRoundsAlone(t *testing.T) {
	f := newFleet(t, 400)
	f.views[0].SetRevision(7)
	rounds := f.until("the head is known", 12, f.all(func(v *peer.View) bool { return v.Head() == 7 }))
	t.Logf("head known at 400 routers after %d rounds", rounds)
}

func live(addr string, incarnation ident.Incarnation, state boxes.State) []boxes.Box {
	return []boxes.Box{{ID: "engine-1", Role: boxes.TargetRole, Addr: addr, Service: "judge", Region: "r", State: state, Incarnation: incarnation}}
}

func TestLeavingIsStickyForAnIncarnation(t *testing.T) {
	v := peer.NewView(start, peer.Member{ID: "a"}, peer.DefaultLimits)
	v.ObserveList(start, live("x", 1, boxes.Live))
	v.MarkLeaving(start, peer.Mark{Target: "engine-1", Incarnation: 1})
	// The list lags and still says live; an old incarnation's mark comes late.
	v.ObserveList(start, live("x", 1, boxes.Live))
	if got := v.Targets("judge", "r"); len(got) != 1 || !got[0].Leaving {
		t.Errorf("got %+v, want leaving", got)
	}
	v.ObserveList(start, live("x", 2, boxes.Live))
	v.MarkLeaving(start, peer.Mark{Target: "engine-1", Incarnation: 1})
	if got := v.Targets("judge", "r"); got[0].Leaving {
		t.Error("a new incarnation is still leaving")
	}
	v.ObserveList(start, live("x", 1, boxes.Leaving))
	if got := v.Targets("judge", "r"); got[0].Leaving || got[0].Incarnation != 2 {
		t.Error("an old list brought the earlier incarnation back")
	}
}

func TestMissingOnceIsNotGone(t *testing.T) {
	v := peer.NewView(start, peer.Member{ID: "a"}, peer.DefaultLimits)
	v.ObserveList(start, live("x", 1, boxes.Live))
	v.ObserveList(start, nil)
	if len(v.Targets("judge", "r")) != 1 {
		t.Error("gone after one list without it")
	}
	v.ObserveList(start, nil)
	if len(v.Targets("judge", "r")) != 0 {
		t.Error("still there after two lists without it")
	}
	later := start.Add(10 * time.Second)
	v.ObserveList(later, live("x", 1, boxes.Live))
	first := v.Targets("judge", "r")[0].Joined
	for range 2 {
		v.ObserveList(later, nil)
		v.ObserveList(later, nil)
		v.ObserveList(later, live("x", 1, boxes.Live))
	}
	if again := v.Targets("judge", "r")[0].Joined; !again.After(first) {
		t.Error("a flapping target starts as fast as a steady one")
	}
}

func TestDeadRouterIsNoticedAndWrongNewsRefuted(t *testing.T) {
	f := newFleet(t, 20)
	f.until("all know all", 30, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 20 }))
	f.cut = func(a, b int) bool { return a == 3 || b == 3 }
	dead := func(v *peer.View) bool {
		m, _ := v.Member("router-003")
		return m.ID == v.Self().ID || m.State == peer.Dead
	}
	f.until("router 3 is dead", 20, f.all(dead))
	f.cut = func(int, int) bool { return false }
	f.until("router 3 is back", 30, f.all(func(v *peer.View) bool {
		m, _ := v.Member("router-003")
		return m.State == peer.Live
	}))
}

func TestTwoHalvesJoinAgain(t *testing.T) {
	f := newFleet(t, 20)
	half := func(i int) bool { return i%2 == 0 }
	f.cut = func(a, b int) bool { return half(a) != half(b) }
	f.until("each half holds the other dead", 40, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 10 }))
	f.cut = func(int, int) bool { return false }
	f.until("all are live again", 40, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 20 }))
}

// A region is cut off for two minutes. Meanwhile a change cannot be accepted, since
// its routers are still on the platform's list; afterwards it reaches them soon.
func TestRegionCutOff(t *testing.T) {
	f := newFleet(t, 25)
	f.until("all know all", 40, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 25 }))
	region := func(i int) bool { return i%5 == 0 }
	f.cut = func(a, b int) bool { return region(a) != region(b) }
	for range 60 {
		f.round()
	}
	f.views[1].SetRevision(9)
	for range 60 {
		f.round()
		for i, v := range f.views {
			if region(i) != region(1) && v.Head() != 0 {
				t.Fatal("a head crossed the cut")
			}
			v.SetRevision(v.Head())
		}
	}
	if got := len(f.views[1].Outstanding(9)); got != 5 {
		t.Errorf("%d routers outstanding, want the 5 that are cut off", got)
	}
	f.cut = func(int, int) bool { return false }
	rounds := f.until("in force and acknowledged everywhere", 20, func() bool {
		for _, v := range f.views {
			v.SetRevision(v.Head())
		}
		return len(f.views[1].Outstanding(9)) == 0
	})
	t.Logf("in force everywhere %d rounds after the cut", rounds)
}

func TestLeavingRouterStaysLeaving(t *testing.T) {
	f := newFleet(t, 8)
	f.until("all know all", 20, f.all(func(v *peer.View) bool { return len(v.Members()) == 8 }))
	f.views[2].Leave(f.now)
	f.until("all know that router 2 leaves", 20, f.all(func(v *peer.View) bool {
		m, _ := v.Member("router-002")
		return m.State == peer.Leaving
	}))
	m, _ := f.views[0].Member("router-002")
	m.State, m.Seq = peer.Live, m.Seq+5
	f.views[0].Incoming(f.now, peer.Digest{From: "x", Members: []peer.Member{m}})
	if got, _ := f.views[0].Member("router-002"); got.State != peer.Leaving {
		t.Errorf("a leaving router became %s", got.State)
	}
	f.views[0].ContactFailed(f.now, "router-002")
	if got, _ := f.views[0].Member("router-002"); got.State != peer.Dead {
		t.Errorf("a leaving router that has gone is %s", got.State)
	}
}

// A router that is only known from a list has a moment to come up before it is suspect, whether the list names its
// start or not.
func TestListedRouterThatIsNotUpYet(t *testing.T) {
	for _, incarnation := range []ident.Incarnation{0, 7} {
		listedRouterThatIsNotUpYet(t, incarnation)
	}
}

func listedRouterThatIsNotUpYet(t *testing.T, incarnation ident.Incarnation) {
	limits := peer.DefaultLimits
	limits.ListedGrace = 600 * time.Millisecond
	now := time.Unix(1000, 0)
	v := peer.NewView(now, peer.Member{ID: "self", Region: "co", Incarnation: 1}, limits)
	v.ObserveRouters(now, []boxes.Box{{ID: "other", Role: boxes.RouterRole, Region: "co", State: boxes.Live, Incarnation: incarnation}})
	state := func(after time.Duration) peer.State {
		v.ContactFailed(now.Add(after), "other")
		m, _ := v.Member("other")
		return m.State
	}
	if diff := cmp.Diff(peer.Live, state(limits.ListedGrace-time.Millisecond)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(peer.Suspect, state(limits.ListedGrace)); diff != "" {
		t.Error(diff)
	}
}

func TestOutstanding(t *testing.T) {
	f := newFleet(t, 3)
	v := f.views[0]
	v.SetRevision(2)
	if diff := cmp.Diff([]ident.Router{"router-001", "router-002"}, v.Outstanding(2)); diff != "" {
		t.Error(diff)
	}
	// A router that does not answer may still serve until the platform's list drops it.
	v.ContactFailed(f.now, "router-002")
	v.Tick(f.now.Add(peer.DefaultLimits.SuspectFor * 2))
	if diff := cmp.Diff(2, len(v.Outstanding(2))); diff != "" {
		t.Error(diff)
	}
	v.ObserveList(f.now, []boxes.Box{{ID: "router-001", Role: boxes.RouterRole, State: boxes.Live}})
	if diff := cmp.Diff([]ident.Router{"router-001"}, v.Outstanding(2)); diff != "" {
		t.Error(diff)
	}
	// What a router's earlier process had in force says nothing of the next one.
	f.views[1].SetRevision(2)
	f.exchange(1, 0)
	if diff := cmp.Diff(0, len(v.Outstanding(2))); diff != "" {
		t.Error(diff)
	}
	m := f.views[1].Self()
	m.Incarnation++
	v.Incoming(f.now, peer.Digest{From: m.ID, Members: []peer.Member{m}})
	if diff := cmp.Diff([]ident.Router{"router-001"}, v.Outstanding(2)); diff != "" {
		t.Error(diff)
	}
}

// Routers that are known before the first targets do not make those targets newcomers,
// which get a small share at first.
func TestFirstTargetsAreNoNewcomers(t *testing.T) {
	now := time.Unix(1000, 0)
	v := peer.NewView(now, peer.Member{ID: "self", Region: "co"}, peer.DefaultLimits)
	v.ObserveRouters(now, []boxes.Box{{ID: "other", Role: boxes.RouterRole, Region: "co", State: boxes.Live}})
	v.ObserveList(now.Add(time.Second), []boxes.Box{{ID: "t", Role: boxes.TargetRole, Service: "s", Region: "co", State: boxes.Live, Incarnation: 1}})
	targets := v.Targets("s", "co")
	if len(targets) != 1 || !targets[0].Joined.IsZero() {
		t.Errorf("got %+v, want a target that has been there all along", targets)
	}
}

// A router that starts hears from the others what era they know, and so takes the first answer of a store that has
// come back from an older copy since for one of a later era.
func TestErasAreToldOf(t *testing.T) {
	now := time.Unix(1000, 0)
	known, starts := peer.NewView(now, peer.Member{ID: "a"}, peer.DefaultLimits), peer.NewView(now, peer.Member{ID: "b"}, peer.DefaultLimits)
	known.RaiseEra(1)
	if news := starts.Incoming(now, known.Outgoing("b", true)); news.Era != 1 {
		t.Errorf("era %d is heard of, want 1", news.Era)
	}
	if news := starts.Incoming(now, known.Outgoing("b", false)); news.Era != 0 {
		t.Error("an era is news twice")
	}
	known.RaiseEra(3)
	known.RaiseEra(2)
	if news := starts.Incoming(now, known.Outgoing("b", false)); news.Era != 3 {
		t.Errorf("era %d is heard of, want 3", news.Era)
	}
}

// Found by arithmetic: a router of a thousand that exchanges news with anyone, five times a second in both directions,
// makes a new connection for nearly each, and holds hundreds after a minute. It keeps to a few, over which news still
// reaches all in as many rounds, in a fleet of several availability zones too; who dies is replaced, the others stay.
func TestRoutersKeepToTheirNeighbours(t *testing.T) {
	const routers, zones, most = 300, 6, 16
	f := newFleet(t, 0)
	var list []boxes.Box
	for i := range routers {
		id := ident.Router(fmt.Sprintf("router-%03d", i))
		zone := ident.Zone(fmt.Sprint("zone-", i%zones))
		f.ids = append(f.ids, id)
		f.views = append(f.views, peer.NewView(start, peer.Member{ID: id, Zone: zone, Incarnation: 1}, peer.DefaultLimits))
		list = append(list, boxes.Box{ID: string(id), Role: boxes.RouterRole, Zone: zone, State: boxes.Live})
	}
	for _, v := range f.views {
		v.ObserveList(start, list)
	}
	picked := func() map[ident.Router]bool {
		out := map[ident.Router]bool{}
		for range 1000 {
			for _, m := range f.views[0].Pick(f.rng, 1) {
				if m.State != peer.Dead {
					out[m.ID] = true
				}
			}
		}
		return out
	}
	before := picked()
	if len(before) > most {
		t.Errorf("news is exchanged with %d routers, want %d at most", len(before), most)
	}
	var first ident.Router
	for id := range before {
		first = max(first, id)
	}
	f.views[0].Incoming(f.now, peer.Digest{Members: []peer.Member{{ID: first, Incarnation: 1, State: peer.Dead, Seq: 1}}})
	after := picked()
	stayed := 0
	for id := range after {
		if before[id] {
			stayed++
		}
	}
	if diff := cmp.Diff([]int{len(before), len(before) - 1}, []int{len(after), stayed}); diff != "" {
		t.Errorf("neighbours, and those that stayed after one died: %s", diff)
	}
	f.views[1].SetRevision(7)
	rounds := f.until("all know the head", 10, f.all(func(v *peer.View) bool { return v.Head() == 7 }))
	t.Logf("a head reaches all after %d rounds", rounds)
}

// Seen: a router that started among 300 logged each of the others twice, as its row named it and as it named itself,
// looked at all homes anew for both, and asked others for their whole lists until news had gone round.
//
// Cause: a row names the start of its router, but was taken for less than what the router says of itself, so that no
// two routers knew the same until each had heard from each.
func TestRoutersThatReadTheSameListAgree(t *testing.T) {
	members := []peer.Member{
		{ID: "a", Addr: "10.0.0.1:1", Region: "co", Incarnation: 5, Cores: 1}, {ID: "b", Addr: "10.0.0.2:1", Region: "co", Incarnation: 6, Cores: 2},
	}
	var list []boxes.Box
	for _, m := range members {
		list = append(list, boxes.Box{
			ID: string(m.ID), Role: boxes.RouterRole, Addr: m.Addr, Region: m.Region, State: boxes.Live, Incarnation: m.Incarnation, Cores: m.Cores,
		})
	}
	a, b := peer.NewView(start, members[0], peer.DefaultLimits), peer.NewView(start, members[1], peer.DefaultLimits)
	a.ObserveRouters(start, list)
	b.ObserveRouters(start, list)
	before := a.Version()
	for range 10 {
		a.Incoming(start, b.Outgoing("a", false))
		b.Incoming(start, a.Outgoing("b", false))
	}
	if diff := cmp.Diff(before, a.Version()); diff != "" {
		t.Errorf("changes of the view that routers make which know the same: %s", diff)
	}
	if d := a.Outgoing("b", false); d.Whole || d.MembersHash != b.Outgoing("a", false).MembersHash {
		t.Error("two routers that read the same list do not agree")
	}
	// What is known of a router otherwise still goes before its row.
	a.Incoming(start, peer.Digest{Members: []peer.Member{{ID: "b", Incarnation: 6, State: peer.Dead, Seq: 1}}})
	a.ObserveRouters(start, list)
	if m, _ := a.Member("b"); m.State != peer.Dead {
		t.Errorf("a dead router is %s again by its row", m.State)
	}
	if a.Doubtful(start, "b") || !b.Doubtful(start, "a") || b.Doubtful(start.Add(time.Minute), "a") {
		t.Error("routers that others told of, or that were listed long ago, are doubtful, or one listed just now is not")
	}
}
