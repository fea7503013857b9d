package lease_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valescale/internal/fake/sched"
	"valescale/internal/fake/store"
	"valescale/internal/plat/ident"
	"valescale/internal/share/lease"
)

// Guards against two holders after a store rollback: b took the lease over from a, and the store is
// restored from a snapshot in which a still holds it. Router a must not renew under its old epoch
// while b holds the lease, and the next holder must not get b's epoch again. This happens if a row
// is accepted as the router's own, or its epoch as the latest, without comparing eras.
func TestFormerHolderAfterStoreRollback(t *testing.T) {
	s, clock := store.New(), newManualClock()
	a := lease.New(store.NewClient(s), "orders", "a", "1", ttl, clock.time)
	b := lease.New(store.NewClient(s), "orders", "b", "2", ttl, clock.time)
	_ = a.AcquireOrRenew(ctx)
	_ = b.AcquireOrRenew(ctx)
	snapshot := s.Snapshot()
	clock.now = clock.now.Add(ttl + 1)
	_ = b.AcquireOrRenew(ctx)
	second, holds := b.Epoch()
	if !holds {
		t.Fatal("b did not acquire the expired lease")
	}
	s.RollBack(snapshot)
	_ = a.AcquireOrRenew(ctx)
	if epoch, holds := a.Epoch(); holds {
		t.Errorf("a holds the lease under epoch %d while b holds it under epoch %d", epoch, second)
	}
	_ = b.AcquireOrRenew(ctx)
	clock.now = clock.now.Add(ttl + 1)
	_ = a.AcquireOrRenew(ctx)
	clock.now = clock.now.Add(ttl + 1)
	_ = a.AcquireOrRenew(ctx)
	if epoch, holds := a.Epoch(); !holds || epoch <= second {
		t.Errorf("a holds the lease: %v, epoch %d; want an epoch greater than %d", holds, epoch, second)
	}
}

// TestSchedulesWithSetbacks runs the actions of TestSchedules together with store rollbacks.
func TestSchedulesWithSetbacks(t *testing.T) {
	sched.Walk(t, walkWithRollbacks)
}

func walkWithRollbacks(r *rapid.T) {
	s, clock := store.New(), newManualClock()
	names := []ident.Router{"a", "b", "c"}
	var leases []*lease.Lease
	for i, name := range names {
		leases = append(leases, lease.New(store.NewClient(s), "orders", name, strconv.Itoa(i), ttl, clock.time))
		// A router that has observed no era cannot detect a later one.
		_ = leases[i].AcquireOrRenew(ctx)
	}
	snapshots := []store.Snapshot{s.Snapshot()}
	owners := epochOwners{byEpoch: map[ident.Epoch]int{}}
	for range rapid.IntRange(3, 40).Draw(r, "steps") {
		i := rapid.IntRange(0, len(leases)-1).Draw(r, "holder")
		switch rapid.IntRange(0, 6).Draw(r, "action") {
		case 0, 1, 2:
			_ = leases[i].AcquireOrRenew(ctx)
		case 3:
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(r, "s")) * time.Second)
		case 4:
			s.LoseResponses(rapid.IntRange(0, 2).Draw(r, "lost"))
		case 5:
			snapshots = append(snapshots, s.Snapshot())
		case 6:
			s.RollBack(snapshots[rapid.IntRange(0, len(snapshots)-1).Draw(r, "copy")])
		}
		owners.check(r, leases)
	}
}
