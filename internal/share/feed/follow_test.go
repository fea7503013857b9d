package feed

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// fakeSource returns a list of prepared results.
type fakeSource struct {
	calls   []string
	results []result
}

type result struct {
	page table.Page
	err  error
}

func (s *fakeSource) next(call string) (table.Page, error) {
	s.calls = append(s.calls, call)
	res := s.results[0]
	s.results = s.results[1:]
	return res.page, res.err
}

func (s *fakeSource) All(context.Context, table.Name) (table.Page, error) { return s.next("all") }

func (s *fakeSource) Changes(_ context.Context, _ table.Name, _ table.Version, _ time.Duration) (table.Page, error) {
	return s.next("changes")
}

func (s *fakeSource) AdvanceTo(table.Era) {}

func follower(b *Replicas, s *fakeSource) *Follower {
	return NewFollower(b, s, tableName, DefaultTiming, NewRoles(), log.NewNopLogger(), 1)
}

func TestCompactedChangeLogTriggersFullRead(t *testing.T) {
	b, _, keys := testReplicas()
	s := &fakeSource{results: []result{
		{page: table.Page{At: table.Position{Version: 5}, Rows: []table.Row{row("a", 5)}}},
		{err: fault.New("test", table.Compacted, nil)},
		{page: table.Page{At: table.Position{Version: 4}, Rows: []table.Row{row("old", 4)}}},
		{page: table.Page{At: table.Position{Version: 9}, Rows: []table.Row{row("b", 9)}}},
		{page: deltaPage(10, row("c", 10))},
	}}
	f := follower(b, s)
	for range 5 {
		if err := f.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]string{"all", "changes", "all", "all", "changes"}, s.calls); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]table.Key{"b", "c"}, *keys); diff != "" {
		t.Error(diff)
	}
}

// fakePeers is a fake of the router's peers.
type fakePeers struct {
	called []ident.Router
	others []ident.Router
	reply  func(from ident.Router) ([]Reply, error)
}

func (r *fakePeers) Rows(_ context.Context, from ident.Router, _ []State, _ time.Duration) ([]Reply, error) {
	r.called = append(r.called, from)
	return r.reply(from)
}

func (r *fakePeers) Candidates() []ident.Router { return r.others }

// A router whose parent fails reads from other peers and meanwhile from the store, and returns to
// the parent later.
func TestFailingParent(t *testing.T) {
	b, now, _ := testReplicas()
	roles := NewRoles()
	roles.Assign(false, "parent")
	r := &fakePeers{others: []ident.Router{"x", "y"}}
	failing := map[ident.Router]bool{"parent": true, "y": true}
	r.reply = func(peer ident.Router) ([]Reply, error) {
		if failing[peer] {
			return nil, fault.New("test", Unreachable, nil)
		}
		return []Reply{{Table: tableName, Page: fullPage(5, row("a", 5))}}, nil
	}
	p := NewPuller(b, r, []table.Name{tableName}, DefaultTiming, roles, log.NewNopLogger(), func() time.Time { return *now })
	step := func() {
		peer, ok := p.peer()
		if !ok {
			t.Fatal("no peer to call")
		}
		p.handleResult(t.Context(), peer, p.Step(t.Context(), peer))
	}
	step()
	if !roles.readsStore() {
		t.Error("the store is not read although no peer responds")
	}
	step()
	step()
	if roles.readsStore() {
		t.Error("the store is still read although a peer responds")
	}
	*now = now.Add(avoidDuration)
	failing["parent"] = false
	step()
	if diff := cmp.Diff([]ident.Router{"parent", "y", "x", "parent"}, r.called); diff != "" {
		t.Error(diff)
	}
}

func TestStalePageIsRejected(t *testing.T) {
	b, now, keys := testReplicas()
	stale := fullPage(5, row("a", 5))
	stale.Age = DefaultTiming.MaxPeerAge + time.Millisecond
	r := &fakePeers{reply: func(ident.Router) ([]Reply, error) { return []Reply{{Table: tableName, Page: stale}}, nil }}
	p := NewPuller(b, r, []table.Name{tableName}, DefaultTiming, NewRoles(), log.NewNopLogger(), func() time.Time { return *now })
	err := p.Step(t.Context(), "x")
	if diff := cmp.Diff(Stale, fault.KindOf[Kind](err)); diff != "" {
		t.Error(diff)
	}
	if len(*keys) != 0 {
		t.Errorf("rows %v of a stale page are applied", *keys)
	}
}

func TestReaderUsesPeersDuringStoreOutage(t *testing.T) {
	roles := NewRoles()
	roles.Assign(true, "")
	if roles.readsPeers() {
		t.Error("a reader reads from peers although the store responds")
	}
	roles.setStoreFailed(tableName, true)
	if !roles.readsPeers() || !roles.readsStore() {
		t.Error("during a store outage a reader does not read from peers, or stops calling the store")
	}
}

// timeoutRecorder records the timeouts of calls.
type timeoutRecorder struct {
	fakeSource
	fakePeers
	timeouts []time.Duration
}

func (s *timeoutRecorder) record(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	s.timeouts = append(s.timeouts, time.Until(deadline).Round(time.Second/10))
}

func (s *timeoutRecorder) All(ctx context.Context, name table.Name) (table.Page, error) {
	s.record(ctx)
	return s.fakeSource.All(ctx, name)
}

func (s *timeoutRecorder) Rows(ctx context.Context, from ident.Router, have []State, wait time.Duration) ([]Reply, error) {
	s.record(ctx)
	return s.fakePeers.Rows(ctx, from, have, wait)
}

// A full read has a much longer timeout than a wait for changes: the rows of thousands of targets
// take long over a slow link.
func TestFullReadTimeouts(t *testing.T) {
	b, now, _ := testReplicas()
	s := &timeoutRecorder{fakeSource: fakeSource{results: []result{{page: table.Page{At: table.Position{Version: 5}, Rows: []table.Row{row("a", 5)}}}}}}
	f := NewFollower(b, s, tableName, DefaultTiming, NewRoles(), log.NewNopLogger(), 1)
	s.reply = func(ident.Router) ([]Reply, error) { return nil, fault.New("test", Unreachable, nil) }
	p := NewPuller(b, s, []table.Name{tableName}, DefaultTiming, NewRoles(), log.NewNopLogger(), func() time.Time { return *now })
	if err := p.Step(t.Context(), "parent"); err == nil {
		t.Fatal("the call to the parent succeeded")
	}
	if err := f.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := p.Step(t.Context(), "parent"); err == nil {
		t.Fatal("the call to the parent succeeded")
	}
	want := []time.Duration{DefaultTiming.PeerFullTimeout, DefaultTiming.FullReadTimeout, DefaultTiming.PeerWait + DefaultTiming.TimeoutMargin}
	if diff := cmp.Diff(want, s.timeouts); diff != "" {
		t.Error(diff)
	}
}

// A router without a first copy reads from the store as well as from a peer, and does not avoid a
// peer that has not loaded its tables yet.
func TestFirstCopy(t *testing.T) {
	b, now, _ := testReplicas()
	roles := NewRoles()
	roles.Assign(false, "parent")
	r := &fakePeers{reply: func(ident.Router) ([]Reply, error) { return nil, nil }}
	p := NewPuller(b, r, []table.Name{tableName}, DefaultTiming, roles, log.NewNopLogger(), func() time.Time { return *now })
	step := func() ident.Router {
		peer, _ := p.peer()
		p.handleResult(t.Context(), peer, p.Step(t.Context(), peer))
		return peer
	}
	if first, second := step(), step(); first != "parent" || second != "parent" || roles.readsStore() {
		t.Errorf("called %s and %s, reads the store: %v; want the parent until its tables are loaded", first, second, roles.readsStore())
	}
	roles.SetAlsoStore(true)
	if !roles.readsStore() || !roles.readsPeers() {
		t.Error("a router without a first copy reads from one source only")
	}
	roles.SetAlsoStore(false)
	*now = now.Add(DefaultTiming.MaxPeerAge)
	step()
	if !roles.readsStore() {
		t.Error("the store is not read although the parent has still not loaded its tables")
	}
}

// A starting router requests the peers' state without a wait, until one peer has returned it or
// three have none either.
func TestConsultation(t *testing.T) {
	b, now, _ := testReplicas()
	var waits []time.Duration
	r := &waitRecorder{fakePeers: fakePeers{others: []ident.Router{"x", "y", "z", "w"}}, waits: &waits}
	for _, empty := range []int{0, 1, 2, 3} {
		roles := NewRoles()
		roles.SetConsulting(true)
		calls := 0
		r.reply = func(ident.Router) ([]Reply, error) {
			calls++
			if calls <= empty {
				return nil, nil
			}
			return []Reply{{Table: tableName, Page: fullPage(5, row("a", 5))}}, nil
		}
		waits = nil
		p := NewPuller(b, r, []table.Name{tableName}, DefaultTiming, roles, log.NewNopLogger(), func() time.Time { return *now })
		for !roles.Consulted() {
			peer, _ := p.peer()
			p.handleResult(t.Context(), peer, p.Step(t.Context(), peer))
		}
		if diff := cmp.Diff(make([]time.Duration, min(empty+1, minEmptyResponses)), waits); diff != "" {
			t.Errorf("%d peers without loaded tables, waits: %s", empty, diff)
		}
	}
}

// waitRecorder records the wait of each call.
type waitRecorder struct {
	fakePeers
	waits *[]time.Duration
}

func (w *waitRecorder) Rows(ctx context.Context, from ident.Router, have []State, wait time.Duration) ([]Reply, error) {
	*w.waits = append(*w.waits, wait)
	return w.fakePeers.Rows(ctx, from, have, wait)
}
