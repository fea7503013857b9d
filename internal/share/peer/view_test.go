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

// fleet is a set of routers that exchange digests round by round in wire form.
type fleet struct {
	t           *testing.T
	now         time.Time
	views       []*peer.View
	ids         []ident.Router
	rng         *rand.Rand
	partitioned func(a, b int) bool
	largest     int
	bytes       int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: start, rng: rand.New(rand.NewPCG(1, 1)), partitioned: func(int, int) bool { return false }}
	for i := range n {
		id := ident.Router(fmt.Sprintf("router-%03d", i))
		self := peer.Member{
			ID: id, Addr: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250), Region: ident.Region(fmt.Sprint("region-", i%5)), Incarnation: 1,
		}
		f.ids = append(f.ids, id)
		f.views = append(f.views, peer.NewView(start, self, peer.DefaultLimits))
	}
	// All routers receive the same list from the platform, as they do when they start.
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

// wire encodes and decodes a digest.
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

// exchange runs one call from a to b.
func (f *fleet) exchange(a, b int) {
	if f.partitioned(a, b) {
		f.views[a].ContactFailed(f.now, f.ids[b])
		return
	}
	f.deliver(a, b, false)
	f.deliver(b, a, false)
}

func (f *fleet) deliver(from, to int, full bool) {
	update := f.views[to].Incoming(f.now, f.wire(f.views[from].Outgoing(f.ids[to], full)))
	if update.SendMembers && !full {
		f.deliver(to, from, true)
	}
}

// index returns the position of a router by its id.
func (f *fleet) index(id ident.Router) int { return slices.Index(f.ids, id) }

// round advances the time by a second and lets each router call one peer.
func (f *fleet) round() {
	f.now = f.now.Add(time.Second)
	for a := range f.views {
		f.views[a].Tick(f.now)
		for _, m := range f.views[a].Pick(f.rng, 1) {
			f.exchange(a, f.index(m.ID))
		}
	}
}

// until runs rounds until the condition holds and returns their number.
func (f *fleet) until(description string, limit int, condition func() bool) int {
	f.t.Helper()
	for n := range limit + 1 {
		if condition() {
			return n
		}
		f.round()
	}
	f.t.Fatalf("condition not reached within %d rounds: %s", limit, description)
	return 0
}

func (f *fleet) all(condition func(*peer.View) bool) func() bool {
	return func() bool {
		for _, v := range f.views {
			if !condition(v) {
				return false
			}
		}
		return true
	}
}

// push lets each router that receives a new head exchange digests with several peers immediately,
// as routers do, and returns the number of hops until no router receives anything new.
func (f *fleet) push(from int) int {
	hops := 0
	for informed := []int{from}; len(informed) > 0; hops++ {
		var next []int
		for _, a := range informed {
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
		informed = next
	}
	return hops
}

// TestRevisionPropagation counts the rounds, which are seconds, until a revision is in force
// everywhere and acknowledged at its origin.
func TestRevisionPropagation(t *testing.T) {
	for _, n := range []int{8, 400} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			f := newFleet(t, n)
			f.until("all views contain all routers", 60, f.all(func(v *peer.View) bool {
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
			const limit = 6
			rounds := f.until("in force everywhere and acknowledged", limit, func() bool {
				for range 2 * peer.DefaultPace.Fanout {
					f.exchange(0, f.rng.IntN(n))
				}
				return acknowledged()
			})
			t.Logf("pushed to %d of %d routers in %d hops, acknowledged by all after %d further rounds, largest digest %d bytes",
				reached, n, hops, rounds, f.largest)
			if f.largest > 1200 {
				t.Errorf("digest takes %d bytes, want at most 1200", f.largest)
			}
		})
	}
}

// Regular rounds alone bring a head to all routers, without triggered exchanges.
func TestHeadPropagationByRounds(t *testing.T) {
	f := newFleet(t, 400)
	f.views[0].SetRevision(7)
	rounds := f.until("all views have the head", 12, f.all(func(v *peer.View) bool { return v.Head() == 7 }))
	t.Logf("head received by 400 routers after %d rounds", rounds)
}

func engineList(addr string, incarnation ident.Incarnation, state boxes.State) []boxes.Box {
	return []boxes.Box{{ID: "engine-1", Role: boxes.TargetRole, Addr: addr, Service: "judge", Region: "r", State: state, Incarnation: incarnation}}
}

func TestLeavingIsFinalForIncarnation(t *testing.T) {
	v := peer.NewView(start, peer.Member{ID: "a"}, peer.DefaultLimits)
	v.ObserveList(start, engineList("x", 1, boxes.Live))
	v.MarkLeaving(start, peer.LeavingTarget{Target: "engine-1", Incarnation: 1})
	// The list lags and still contains the target as live.
	v.ObserveList(start, engineList("x", 1, boxes.Live))
	if got := v.Targets("judge", "r"); len(got) != 1 || !got[0].Leaving {
		t.Errorf("got %+v, want leaving", got)
	}
	v.ObserveList(start, engineList("x", 2, boxes.Live))
	// The leaving record of an earlier incarnation arrives late.
	v.MarkLeaving(start, peer.LeavingTarget{Target: "engine-1", Incarnation: 1})
	if got := v.Targets("judge", "r"); got[0].Leaving {
		t.Error("later incarnation is still leaving")
	}
	v.ObserveList(start, engineList("x", 1, boxes.Leaving))
	if got := v.Targets("judge", "r"); got[0].Leaving || got[0].Incarnation != 2 {
		t.Error("outdated list restored the earlier incarnation")
	}
}

func TestTargetRemovedAfterMissingLists(t *testing.T) {
	v := peer.NewView(start, peer.Member{ID: "a"}, peer.DefaultLimits)
	v.ObserveList(start, engineList("x", 1, boxes.Live))
	v.ObserveList(start, nil)
	if len(v.Targets("judge", "r")) != 1 {
		t.Error("target removed after one list without it")
	}
	v.ObserveList(start, nil)
	if len(v.Targets("judge", "r")) != 0 {
		t.Error("target not removed after two lists without it")
	}
	later := start.Add(10 * time.Second)
	v.ObserveList(later, engineList("x", 1, boxes.Live))
	first := v.Targets("judge", "r")[0].Joined
	for range 2 {
		v.ObserveList(later, nil)
		v.ObserveList(later, nil)
		v.ObserveList(later, engineList("x", 1, boxes.Live))
	}
	if again := v.Targets("judge", "r")[0].Joined; !again.After(first) {
		t.Error("slow start of a flapping target is not delayed")
	}
}

func TestDeadRouterDetectedAndRefuted(t *testing.T) {
	f := newFleet(t, 20)
	f.until("all views contain all routers", 30, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 20 }))
	f.partitioned = func(a, b int) bool { return a == 3 || b == 3 }
	dead := func(v *peer.View) bool {
		m, _ := v.Member("router-003")
		return m.ID == v.Self().ID || m.State == peer.Dead
	}
	f.until("router 3 is dead", 20, f.all(dead))
	f.partitioned = func(int, int) bool { return false }
	f.until("router 3 is live again", 30, f.all(func(v *peer.View) bool {
		m, _ := v.Member("router-003")
		return m.State == peer.Live
	}))
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(t, 20)
	half := func(i int) bool { return i%2 == 0 }
	f.partitioned = func(a, b int) bool { return half(a) != half(b) }
	f.until("each half considers the other dead", 40, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 10 }))
	f.partitioned = func(int, int) bool { return false }
	f.until("all are live again", 40, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 20 }))
}

// A region is partitioned for two minutes. During that time a change cannot be accepted, since the
// region's routers are still on the platform's list; afterwards it reaches them within 20 rounds.
func TestRegionPartition(t *testing.T) {
	f := newFleet(t, 25)
	f.until("all views contain all routers", 40, f.all(func(v *peer.View) bool { return len(v.Routers("")) == 25 }))
	region := func(i int) bool { return i%5 == 0 }
	f.partitioned = func(a, b int) bool { return region(a) != region(b) }
	for range 60 {
		f.round()
	}
	f.views[1].SetRevision(9)
	for range 60 {
		f.round()
		for i, v := range f.views {
			if region(i) != region(1) && v.Head() != 0 {
				t.Fatal("head received across the partition")
			}
			v.SetRevision(v.Head())
		}
	}
	if got := len(f.views[1].Outstanding(9)); got != 5 {
		t.Errorf("%d routers outstanding, want the 5 in the partitioned region", got)
	}
	f.partitioned = func(int, int) bool { return false }
	rounds := f.until("in force and acknowledged everywhere", 20, func() bool {
		for _, v := range f.views {
			v.SetRevision(v.Head())
		}
		return len(f.views[1].Outstanding(9)) == 0
	})
	t.Logf("in force everywhere %d rounds after the partition", rounds)
}

func TestLeavingRouterStaysLeaving(t *testing.T) {
	f := newFleet(t, 8)
	f.until("all views contain all routers", 20, f.all(func(v *peer.View) bool { return len(v.Members()) == 8 }))
	f.views[2].Leave(f.now)
	f.until("all views have router 2 as leaving", 20, f.all(func(v *peer.View) bool {
		m, _ := v.Member("router-002")
		return m.State == peer.Leaving
	}))
	m, _ := f.views[0].Member("router-002")
	m.State, m.Seq = peer.Live, m.Seq+5
	f.views[0].Incoming(f.now, peer.Digest{From: "x", Members: []peer.Member{m}})
	if got, _ := f.views[0].Member("router-002"); got.State != peer.Leaving {
		t.Errorf("leaving router became %s", got.State)
	}
	f.views[0].ContactFailed(f.now, "router-002")
	if got, _ := f.views[0].Member("router-002"); got.State != peer.Dead {
		t.Errorf("leaving router that does not respond is %s", got.State)
	}
}

// A router that is known only from a list has a grace period to start before it becomes suspect,
// whether the list contains its incarnation or not.
func TestListedRouterGrace(t *testing.T) {
	for _, incarnation := range []ident.Incarnation{0, 7} {
		checkListedRouterGrace(t, incarnation)
	}
}

func checkListedRouterGrace(t *testing.T, incarnation ident.Incarnation) {
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
	// A router that does not respond may still serve requests until the platform's list no longer
	// contains it.
	v.ContactFailed(f.now, "router-002")
	v.Tick(f.now.Add(peer.DefaultLimits.SuspectTimeout * 2))
	if diff := cmp.Diff(2, len(v.Outstanding(2))); diff != "" {
		t.Error(diff)
	}
	v.ObserveList(f.now, []boxes.Box{{ID: "router-001", Role: boxes.RouterRole, State: boxes.Live}})
	if diff := cmp.Diff([]ident.Router{"router-001"}, v.Outstanding(2)); diff != "" {
		t.Error(diff)
	}
	// The revision in force at a router's earlier process is not attributed to the next one.
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

// Routers that are received before the first list of targets do not subject those targets to a slow
// start, in which they get a small share of the requests.
func TestFirstTargetsSkipSlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	v := peer.NewView(now, peer.Member{ID: "self", Region: "co"}, peer.DefaultLimits)
	v.ObserveRouters(now, []boxes.Box{{ID: "other", Role: boxes.RouterRole, Region: "co", State: boxes.Live}})
	v.ObserveList(now.Add(time.Second), []boxes.Box{{ID: "t", Role: boxes.TargetRole, Service: "s", Region: "co", State: boxes.Live, Incarnation: 1}})
	targets := v.Targets("s", "co")
	if len(targets) != 1 || !targets[0].Joined.IsZero() {
		t.Errorf("got %+v, want one target without a slow start", targets)
	}
}

// A router that starts receives the era from its peers. It can therefore detect that the store has
// been restored from an older snapshot in the meantime: the first response of the store belongs to
// a later era.
func TestErasPropagate(t *testing.T) {
	now := time.Unix(1000, 0)
	running, starting := peer.NewView(now, peer.Member{ID: "a"}, peer.DefaultLimits), peer.NewView(now, peer.Member{ID: "b"}, peer.DefaultLimits)
	running.RaiseEra(1)
	if update := starting.Incoming(now, running.Outgoing("b", true)); update.Era != 1 {
		t.Errorf("received era %d, want 1", update.Era)
	}
	if update := starting.Incoming(now, running.Outgoing("b", false)); update.Era != 0 {
		t.Error("era reported as new twice")
	}
	running.RaiseEra(3)
	running.RaiseEra(2)
	if update := starting.Incoming(now, running.Outgoing("b", false)); update.Era != 3 {
		t.Errorf("received era %d, want 3", update.Era)
	}
}

// Guards against a growing number of connections: a router in a fleet of a thousand that exchanges
// digests with random peers, five times a second in both directions, opens a new connection for
// nearly every exchange and holds hundreds after a minute. It uses a small fixed set of peers
// instead, over which updates still reach all routers in as many rounds, also in a fleet of several
// availability zones. A dead router is replaced; the other peers remain selected.
func TestGossipPeersAreStable(t *testing.T) {
	const routers, zones, limit = 300, 6, 16
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
	pickedPeers := func() map[ident.Router]bool {
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
	before := pickedPeers()
	if len(before) > limit {
		t.Errorf("digests are exchanged with %d routers, want at most %d", len(before), limit)
	}
	var first ident.Router
	for id := range before {
		first = max(first, id)
	}
	f.views[0].Incoming(f.now, peer.Digest{Members: []peer.Member{{ID: first, Incarnation: 1, State: peer.Dead, Seq: 1}}})
	after := pickedPeers()
	remaining := 0
	for id := range after {
		if before[id] {
			remaining++
		}
	}
	if diff := cmp.Diff([]int{len(before), len(before) - 1}, []int{len(after), remaining}); diff != "" {
		t.Errorf("number of peers, and of those that remain after one died: %s", diff)
	}
	f.views[1].SetRevision(7)
	rounds := f.until("all views have the head", 10, f.all(func(v *peer.View) bool { return v.Head() == 7 }))
	t.Logf("head received by all after %d rounds", rounds)
}

// Guards against redundant updates at start. If a row ranks below the update of its router, although
// it contains the router's incarnation, no two views are equal until each has received updates from
// all routers. A router that starts among 300 then adds each peer twice, once from its row and once
// from the peer's own update, recomputes all homes for both, and requests full member lists until
// the updates have spread.
func TestSameListGivesSameView(t *testing.T) {
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
		t.Errorf("view version changed by digests of a router with the same members: %s", diff)
	}
	if d := a.Outgoing("b", false); d.RequestMembers || d.MembersHash != b.Outgoing("a", false).MembersHash {
		t.Error("views of two routers that read the same list differ")
	}
	// Updates from peers still take precedence over the row.
	a.Incoming(start, peer.Digest{Members: []peer.Member{{ID: "b", Incarnation: 6, State: peer.Dead, Seq: 1}}})
	a.ObserveRouters(start, list)
	if m, _ := a.Member("b"); m.State != peer.Dead {
		t.Errorf("dead router became %s by its row", m.State)
	}
	if a.RecentlyListed(start, "b") || !b.RecentlyListed(start, "a") || b.RecentlyListed(start.Add(time.Minute), "a") {
		t.Error("RecentlyListed: want false for a router reported by a peer or listed a minute ago, true for one listed just now")
	}
}

// Guards against two routers with the same rank, which would both begin a trial at once, and against the rank of a
// router behind one that no longer serves.
func TestRanksAreDistinctAmongLiveRouters(t *testing.T) {
	f := newFleet(t, 7)
	leaving := 3
	f.views[leaving].Leave(start)
	for i, v := range f.views {
		if i != leaving {
			v.Incoming(start, f.wire(f.views[leaving].Outgoing(f.ids[i], true)))
		}
	}
	for hash := range uint64(20) {
		var ranks []int
		for i, v := range f.views {
			if i != leaving {
				ranks = append(ranks, v.Rank(hash))
			}
		}
		slices.Sort(ranks)
		if diff := cmp.Diff([]int{0, 1, 2, 3, 4, 5}, ranks); diff != "" {
			t.Errorf("hash %d: %s", hash, diff)
		}
	}
}
