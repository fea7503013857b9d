package config_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"valescale/internal/fake/sched"
	"valescale/internal/fake/store"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/share/config"
)

// record records a change and installs it on the same router.
func (r *router) record(t *testing.T, id string, shards int) {
	t.Helper()
	if _, err := r.recorder.Record(ctx, propose(id, r.keeper.InForce().Revision, documents(t, "judge", shards))); err != nil {
		t.Fatal(err)
	}
	if err := r.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
}

// shards returns the revision in force and the shard count that it configures.
func (r *router) shards(t *testing.T) []any {
	t.Helper()
	force := r.keeper.InForce()
	return []any{force.Revision, force.Set.Services["judge"].Shards}
}

// Guards against changes that stay lost after a store rollback: the store is restored from a
// snapshot without revisions 2 and 3. Unless the routers that have revision 3 in force rewrite the
// changes, every later change is rejected because the store is behind, and a restarted fleet has
// revision 1.
func TestLostChangesAreRewrittenAfterStoreRollback(t *testing.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	a, b := newRouter(store.NewClient(s), p, "a"), newRouter(store.NewClient(s), p, "b")
	a.record(t, "one", 1)
	snapshot := s.Snapshot()
	a.record(t, "two", 2)
	a.record(t, "three", 3)
	if err := b.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	s.RollBack(snapshot)
	// The first poll detects that the store is behind and rewrites the lost changes.
	for range 2 {
		_ = a.follower.Poll(ctx)
		_ = b.follower.Poll(ctx)
	}
	if diff := cmp.Diff([]any{ident.Revision(3), 3}, a.shards(t)); diff != "" {
		t.Errorf("configuration in force: %s", diff)
	}
	if alarms := append(a.follower.Alarms(), b.follower.Alarms()...); len(alarms) > 0 {
		t.Errorf("got alarms %v after the changes were rewritten", alarms)
	}
	late := newRouter(store.NewClient(s), p, "late")
	if err := late.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{ident.Revision(3), 3}, late.shards(t)); diff != "" {
		t.Errorf("configuration of a router that has only read the store: %s", diff)
	}
	a.record(t, "four", 4)
	changes, err := a.recorder.Changes(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, c := range changes {
		ids = append(ids, c.ID)
	}
	if diff := cmp.Diff([]string{"one", "two", "three", "four"}, ids); diff != "" {
		t.Error(diff)
	}
	audit, err := a.recorder.Audit(ctx, 0, 10)
	if err != nil || len(audit) != 4 {
		t.Errorf("got %d audit rows and %v, want one per change", len(audit), err)
	}
}

// A store that serves reads from a stale replica is behind as well, but nothing may be written to
// it.
func TestStaleReadsAreNotARollback(t *testing.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	a, b := newRouter(store.NewClient(s), p, "a"), newRouter(store.NewClient(s), p, "b")
	a.record(t, "one", 1)
	if err := b.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	snapshot := s.Snapshot()
	a.record(t, "two", 2)
	latest := s.Snapshot()
	s.RollBack(snapshot)
	s.FreezeReads(true)
	s.RollBack(latest)
	commits, _ := s.Writes()
	_ = a.follower.Poll(ctx)
	if after, _ := s.Writes(); after != commits {
		t.Errorf("%d transactions took effect after a stale read", after-commits)
	}
}

// Guards against two changes with the same revision: a router that has not installed revisions that
// the store has lost must not record another change in their place.
func TestLostRevisionIsNotReused(t *testing.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	a, b := newRouter(store.NewClient(s), p, "a"), newRouter(store.NewClient(s), p, "b")
	a.record(t, "one", 1)
	if err := b.follower.Poll(ctx); err != nil {
		t.Fatal(err)
	}
	snapshot := s.Snapshot()
	a.record(t, "two", 2)
	b.peerRevision = 2
	s.RollBack(snapshot)
	_, err := b.recorder.Record(ctx, propose("other", 1, documents(t, "judge", 9)))
	if diff := cmp.Diff(config.Behind, fault.KindOf[config.Kind](err)); diff != "" {
		t.Error(diff)
	}
	_ = a.follower.Poll(ctx)
	_ = b.follower.Poll(ctx)
	b.record(t, "other", 9)
	if diff := cmp.Diff([]any{ident.Revision(3), 9}, b.shards(t)); diff != "" {
		t.Error(diff)
	}
}

// TestSchedulesWithSetbacks has routers record, poll and receive each other's revisions during
// store rollbacks. The revision in force must never decrease, and in the end the store and all
// routers must have the same changes.
func TestSchedulesWithSetbacks(t *testing.T) {
	sched.Walk(t, walkWithRollbacks)
}

func walkWithRollbacks(r *rapid.T) {
	s := store.New()
	p := &peers{routers: map[ident.Router]*router{}}
	var routers []*router
	for _, name := range []ident.Router{"a", "b", "c"} {
		next := newRouter(store.NewClient(s), p, name)
		_ = next.follower.Poll(ctx)
		routers = append(routers, next)
	}
	snapshots := []store.Snapshot{s.Snapshot()}
	for step := range rapid.IntRange(3, 40).Draw(r, "steps") {
		peer := routers[rapid.IntRange(0, len(routers)-1).Draw(r, "router")]
		before := peer.keeper.InForce().Revision
		switch rapid.IntRange(0, 6).Draw(r, "action") {
		case 0, 1:
			id := fmt.Sprint("c", step)
			_, _ = peer.recorder.Record(ctx, propose(id, before, documents(r, "judge", 1+step)))
			_ = peer.follower.Poll(ctx)
		case 2, 3:
			_ = peer.follower.Poll(ctx)
		case 4:
			s.LoseResponses(rapid.IntRange(0, 2).Draw(r, "lost"))
		case 5:
			snapshots = append(snapshots, s.Snapshot())
		case 6:
			s.RollBack(snapshots[rapid.IntRange(0, len(snapshots)-1).Draw(r, "copy")])
		}
		if got := peer.keeper.InForce().Revision; got < before {
			r.Fatalf("got revision %d in force, want at least %d", got, before)
		}
		shareRevisions(routers)
	}
	s.LoseResponses(0)
	for range 2 * len(routers) {
		for _, peer := range routers {
			_ = peer.follower.Poll(ctx)
		}
		shareRevisions(routers)
	}
	want, err := routers[0].recorder.Changes(ctx, 0)
	if err != nil {
		r.Fatal(err)
	}
	for i, peer := range routers {
		got, _ := peer.keeper.Since(0)
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			r.Fatalf("router %d differs from the store: %s", i, diff)
		}
	}
}

// shareRevisions reports the highest revision in force to every router.
func shareRevisions(routers []*router) {
	highest := ident.Revision(0)
	for _, peer := range routers {
		highest = max(highest, peer.keeper.InForce().Revision)
	}
	for _, peer := range routers {
		peer.peerRevision = highest
	}
}
