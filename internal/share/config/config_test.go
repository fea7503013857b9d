package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"valescale/internal/fake/sched"
	"valescale/internal/fake/store"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/policy"
	"valescale/internal/share/config"
)

func TestMain(m *testing.M) { sched.Main(m) }

// router is the configuration state of one router.
type router struct {
	keeper   *config.Keeper
	recorder *config.Recorder
	follower *config.Follower
	// peerRevision is the highest revision reported by other routers.
	peerRevision ident.Revision
}

// peers lets routers fetch from each other by name while the network is connected.
type peers struct {
	routers map[ident.Router]*router
	cut     bool
}

func (p *peers) Fetch(_ context.Context, from ident.Router, after ident.Revision) (config.Fetched, error) {
	r, ok := p.routers[from]
	if !ok || p.cut || !r.follower.Initialized() {
		return config.Fetched{}, errors.New("unreachable")
	}
	changes, ok := r.keeper.Since(after)
	if !ok {
		snapshot := r.keeper.Documents()
		return config.Fetched{Head: snapshot.Revision, Snapshot: &snapshot}, nil
	}
	return config.Fetched{Head: r.keeper.InForce().Revision, Changes: changes}, nil
}

func clock() time.Time { return time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC) }

func newRouter(s config.Store, p *peers, name ident.Router) *router {
	r := &router{keeper: config.NewKeeper(nil)}
	r.recorder = config.NewRecorder(s, r.keeper, func() ident.Revision { return r.peerRevision }, clock)
	r.follower = config.NewFollower(r.keeper, r.recorder, p, time.Second, log.NewNopLogger(), 1)
	p.routers[name] = r
	return r
}

func documents(t interface{ Fatal(...any) }, name string, shards int) []policy.Document {
	docs, err := policy.Split("test.ini", fmt.Appendf(nil, "[service %s]\nshards = %d\n", name, shards))
	if err != nil {
		t.Fatal(err)
	}
	return docs
}

func propose(id string, base ident.Revision, docs []policy.Document) config.Proposal {
	return config.Proposal{ID: id, Operator: "ana", Base: base, Documents: docs}
}

var ctx = context.Background()

func TestRecordWritesAuditRows(t *testing.T) {
	s := store.New()
	r := newRouter(s, &peers{routers: map[ident.Router]*router{}}, "a")
	for i := 1; i <= 2; i++ {
		if _, err := r.recorder.Record(ctx, propose(fmt.Sprint(i), ident.Revision(i-1), documents(t, "judge", i))); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := r.recorder.Audit(ctx, 0, 10)
	if err != nil {
		t.Fatal(err)
	}
	id := policy.ID{Kind: policy.ServiceKind, Name: "judge"}
	want := []config.AuditRow{
		{Revision: 2, Operator: "ana", At: clock(), Document: id, Before: "shards = 1\n", After: "shards = 2\n"},
		{Revision: 1, Operator: "ana", At: clock(), Document: id, After: "shards = 1\n"},
	}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
}

func TestConflictReturnsOtherChange(t *testing.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	a, b := newRouter(s, p, "a"), newRouter(s, p, "b")
	if _, err := a.recorder.Record(ctx, propose("1", 0, documents(t, "judge", 4))); err != nil {
		t.Fatal(err)
	}
	out, err := b.recorder.Record(ctx, propose("2", 0, documents(t, "judge", 8)))
	if kind := fault.KindOf[config.Kind](err); kind != config.Conflict {
		t.Fatalf("got kind %q, want %q", kind, config.Conflict)
	}
	if diff := cmp.Diff(documents(t, "judge", 4), out.Theirs); diff != "" {
		t.Error(diff)
	}
	// A change of another document is not a conflict.
	if out, err = b.recorder.Record(ctx, propose("3", 0, documents(t, "board", 8))); err != nil || out.Change.Revision != 2 {
		t.Errorf("got revision %d and %v, want 2", out.Change.Revision, err)
	}
}

func TestRecordAfterLostCommitResponse(t *testing.T) {
	s := store.New()
	r := newRouter(s, &peers{routers: map[ident.Router]*router{}}, "a")
	s.LoseResponses(1)
	out, err := r.recorder.Record(ctx, propose("1", 0, documents(t, "judge", 4)))
	if err != nil || out.Change.Revision != 1 {
		t.Fatalf("got revision %d and %v, want 1", out.Change.Revision, err)
	}
	if out, err = r.recorder.Record(ctx, propose("1", 0, documents(t, "judge", 4))); err != nil || out.Change.Revision != 1 {
		t.Errorf("recording the same change again: got revision %d and %v, want 1", out.Change.Revision, err)
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	s := store.New()
	r := newRouter(s, &peers{routers: map[ident.Router]*router{}}, "a")
	if _, err := r.recorder.Record(ctx, propose("1", 0, documents(t, "judge", 4))); err != nil {
		t.Fatal(err)
	}
	s.FreezeReads(true)
	if _, err := newRouter(s, &peers{routers: map[ident.Router]*router{}}, "b").recorder.Record(ctx, propose("2", 1, documents(t, "judge", 5))); err != nil {
		t.Fatal(err)
	}
	s.FreezeReads(false)
	if err := r.follower.Poll(ctx); err != nil || r.keeper.InForce().Revision != 2 {
		t.Fatalf("got revision %d and %v, want 2", r.keeper.InForce().Revision, err)
	}
	old := store.New()
	stale := config.NewRecorder(old, r.keeper, func() ident.Revision { return 0 }, clock)
	follower := config.NewFollower(r.keeper, stale, &peers{}, time.Second, log.NewNopLogger(), 1)
	if kind := fault.KindOf[config.Kind](follower.Poll(ctx)); kind != config.Behind {
		t.Errorf("got kind %q from an older store, want %q", kind, config.Behind)
	}
	if diff := cmp.Diff([]config.Alarm{config.AlarmStoreBehind}, follower.Alarms()); diff != "" {
		t.Error(diff)
	}
	if err := r.keeper.InstallSnapshot(config.Snapshot{Revision: 1}); err != nil {
		t.Error(err)
	}
	if got := r.keeper.InForce().Revision; got != 2 {
		t.Errorf("got revision %d in force, want 2", got)
	}
	if _, err := stale.Record(ctx, propose("3", 2, documents(t, "judge", 6))); fault.KindOf[config.Kind](err) != config.Behind {
		t.Errorf("got %v from an older store, want kind %q", err, config.Behind)
	}
}

func TestStartWithoutStore(t *testing.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	a := newRouter(s, p, "a")
	if _, err := a.recorder.Record(ctx, propose("1", 0, documents(t, "judge", 4))); err != nil {
		t.Fatal(err)
	}
	if err := a.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	s.SetDown(true)
	b := newRouter(s, p, "b")
	if err := b.follower.Poll(ctx); err == nil || b.follower.Initialized() {
		t.Error("a router without store or peers reports that it has the configuration")
	}
	if err := b.follower.Bootstrap(ctx, "a"); err != nil || !b.follower.Initialized() || b.keeper.InForce().Revision != 1 {
		t.Errorf("got revision %d and %v, want 1", b.keeper.InForce().Revision, err)
	}
	c := newRouter(s, p, "c")
	p.cut = true
	if err := c.follower.Bootstrap(ctx, "a"); err == nil || c.follower.Initialized() {
		t.Error("a disconnected router reports that it has the configuration")
	}
}

// TestSchedules runs random sequences of the actions in spec/config.pml against the implementation.
func TestSchedules(t *testing.T) {
	sched.Walk(t, walk)
}

func walk(r *rapid.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	names := []ident.Router{"a", "b", "c"}
	for _, name := range names {
		newRouter(s, p, name)
	}
	recorded := map[ident.Revision]string{}
	highest := map[ident.Router]ident.Revision{}
	for step := range rapid.IntRange(3, 15).Draw(r, "steps") {
		name := rapid.SampledFrom(names).Draw(r, "router")
		at := p.routers[name]
		switch rapid.IntRange(0, 7).Draw(r, "action") {
		case 0:
			record(r, at, recorded, fmt.Sprint(step))
		case 1:
			// Another operator's change is committed between this operator's reads and commit.
			other := p.routers[rapid.SampledFrom(names).Draw(r, "other")]
			s.BeforeCommit(func(table.Txn) {
				s.BeforeCommit(nil)
				record(r, other, recorded, fmt.Sprint(step)+" between")
			})
			record(r, at, recorded, fmt.Sprint(step))
			s.BeforeCommit(nil)
		case 2:
			_ = at.follower.Poll(ctx)
		case 3:
			_ = at.follower.FollowPeer(ctx, rapid.SampledFrom(names).Draw(r, "from"))
		case 4:
			s.LoseResponses(rapid.IntRange(0, 2).Draw(r, "lost"))
		case 5:
			s.SetDown(rapid.Bool().Draw(r, "down"))
		case 6:
			s.FreezeReads(rapid.Bool().Draw(r, "frozen"))
		case 7:
			newRouter(s, p, name)
			highest[name] = 0
		}
		for _, name := range names {
			revision := p.routers[name].keeper.InForce().Revision
			if revision < highest[name] {
				r.Fatalf("router %s went from revision %d back to %d", name, highest[name], revision)
			}
			highest[name] = revision
		}
	}
	s.SetDown(false)
	s.FreezeReads(false)
	checkAgreement(r, p, names)
}

// record makes a change and checks that no other change has its revision.
func record(r *rapid.T, at *router, recorded map[ident.Revision]string, id string) {
	name := rapid.SampledFrom([]string{"judge", "board"}).Draw(r, "document")
	shards := rapid.IntRange(1, 64).Draw(r, "shards")
	out, err := at.recorder.Record(ctx, propose(id, at.keeper.InForce().Revision, documents(r, name, shards)))
	if err != nil || len(out.Problems) > 0 {
		return
	}
	if other, taken := recorded[out.Change.Revision]; taken {
		r.Fatalf("revision %d is both change %s and change %s", out.Change.Revision, other, id)
	}
	recorded[out.Change.Revision] = id
}

// checkAgreement updates all routers to the head and compares their configurations.
func checkAgreement(r *rapid.T, p *peers, names []ident.Router) {
	var first config.Snapshot
	for i, name := range names {
		if err := p.routers[name].follower.Poll(ctx); err != nil {
			r.Fatal(err)
		}
		got := p.routers[name].keeper.Documents()
		if i == 0 {
			first = got
		}
		if diff := cmp.Diff(first, got); diff != "" {
			r.Fatal(diff)
		}
	}
}

// hookedStore is a store that calls a function before each scan.
type hookedStore struct {
	config.Store
	beforeScan func()
}

func (h *hookedStore) Scan(ctx context.Context, r table.Range) ([]table.Row, error) {
	h.beforeScan()
	return h.Store.Scan(ctx, r)
}

// Guards against a starting router that is ready without a configuration in force. This happens if
// it counts as initialized after reading the head revision but before installing the changes up to
// it, and a concurrent check lets it accept requests.
func TestInitializedOnlyAfterInstall(t *testing.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	newRouter(s, p, "a").record(t, "one", 1)
	var late *router
	early := false
	late = newRouter(&hookedStore{Store: s, beforeScan: func() { early = early || late.follower.Initialized() }}, p, "late")
	if err := late.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	if early || !late.follower.Initialized() {
		t.Errorf("Initialized before the install: %v, after it: %v; want false, true", early, late.follower.Initialized())
	}
}
