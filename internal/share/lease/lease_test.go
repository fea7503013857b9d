package lease_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valescale/internal/fake/sched"
	"valescale/internal/fake/store"
	"valescale/internal/plat/ident"
	"valescale/internal/share/lease"
)

func TestMain(m *testing.M) { sched.Main(m) }

const ttl = 10 * time.Second

var ctx = context.Background()

// manualClock is a clock that only tests advance.
type manualClock struct{ now time.Time }

func (c *manualClock) time() time.Time { return c.now }

func newManualClock() *manualClock {
	return &manualClock{now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
}

func TestSingleHolder(t *testing.T) {
	s, clock := store.New(), newManualClock()
	a := lease.New(s, "orders", "a", "1", ttl, clock.time)
	b := lease.New(s, "orders", "b", "2", ttl, clock.time)
	_ = a.AcquireOrRenew(ctx)
	_ = b.AcquireOrRenew(ctx)
	first, holds := a.Epoch()
	if _, other := b.Epoch(); !holds || other {
		t.Fatalf("a holds: %v, b holds: %v", holds, other)
	}
	clock.now = clock.now.Add(ttl + time.Second)
	if _, still := a.Epoch(); still {
		t.Error("a still holds a lease that it has not renewed")
	}
	_ = b.AcquireOrRenew(ctx)
	second, holds := b.Epoch()
	if !holds || second <= first {
		t.Errorf("b holds the lease: %v, epoch %d; want an epoch greater than %d", holds, second, first)
	}
}

func TestReleasedLeaseIsAvailableImmediately(t *testing.T) {
	s, clock := store.New(), newManualClock()
	a := lease.New(s, "orders", "a", "1", ttl, clock.time)
	b := lease.New(s, "orders", "b", "2", ttl, clock.time)
	_ = a.AcquireOrRenew(ctx)
	if err := a.Release(ctx); err != nil {
		t.Fatal(err)
	}
	_ = b.AcquireOrRenew(ctx)
	if epoch, holds := b.Epoch(); !holds || epoch != 2 {
		t.Errorf("b holds the lease: %v, epoch %d; want epoch 2", holds, epoch)
	}
}

func TestAcquireAfterLostCommitResponse(t *testing.T) {
	s, clock := store.New(), newManualClock()
	a := lease.New(s, "orders", "a", "1", ttl, clock.time)
	s.LoseResponses(1)
	if err := a.AcquireOrRenew(ctx); err == nil {
		t.Fatal("got no error although the commit response was lost")
	}
	if err := a.AcquireOrRenew(ctx); err != nil {
		t.Fatal(err)
	}
	if epoch, holds := a.Epoch(); !holds || epoch != 1 {
		t.Errorf("a holds the lease: %v, epoch %d; want epoch 1", holds, epoch)
	}
}

// TestSchedules runs random sequences of the actions in spec/lease.pml against the implementation:
// several holders, pauses of any length at any point, lost commit responses, and a store that is
// down.
func TestSchedules(t *testing.T) {
	sched.Walk(t, walk)
}

func walk(r *rapid.T) {
	s, clock := store.New(), newManualClock()
	names := []ident.Router{"a", "b", "c"}
	var leases []*lease.Lease
	for i, name := range names {
		leases = append(leases, lease.New(s, "orders", name, strconv.Itoa(i), ttl, clock.time))
	}
	owners := epochOwners{byEpoch: map[ident.Epoch]int{}}
	for range rapid.IntRange(3, 30).Draw(r, "steps") {
		i := rapid.IntRange(0, len(leases)-1).Draw(r, "holder")
		switch rapid.IntRange(0, 4).Draw(r, "action") {
		case 0, 1:
			_ = leases[i].AcquireOrRenew(ctx)
		case 2:
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(r, "s")) * time.Second)
		case 3:
			s.LoseResponses(rapid.IntRange(0, 2).Draw(r, "lost"))
		case 4:
			s.SetDown(rapid.Bool().Draw(r, "down"))
		}
		owners.check(r, leases)
	}
}

// epochOwners records which router held each epoch.
type epochOwners struct {
	latest  ident.Epoch
	byEpoch map[ident.Epoch]int
}

// check verifies that at most one router holds the lease, that epochs grow, and that each epoch has
// one owner.
func (h *epochOwners) check(r *rapid.T, leases []*lease.Lease) {
	held := 0
	for j, l := range leases {
		epoch, ok := l.Epoch()
		if !ok {
			continue
		}
		held++
		if other, taken := h.byEpoch[epoch]; taken && other != j {
			r.Fatalf("epoch %d belongs to both router %d and router %d", epoch, other, j)
		}
		if _, found := h.byEpoch[epoch]; !found && epoch <= h.latest {
			r.Fatalf("epoch %d was issued after epoch %d", epoch, h.latest)
		}
		h.byEpoch[epoch] = j
		h.latest = max(h.latest, epoch)
	}
	if held > 1 {
		r.Fatalf("%d routers hold the lease", held)
	}
}
