package claim_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/sched"
	"valescale/internal/fake/store"
	"valescale/internal/plat/pause"
	"valescale/internal/share/claim"
)

// newRouter returns the claims of an additional router and its store client, which receives the
// store's era with its own calls.
func (f *fixture) newRouter() (*claim.Claims, *store.Client) {
	client := store.NewClient(f.store)
	c, stop := claim.New(client, f.objects, claim.DefaultOptions, log.NewNopLogger(), time.Now)
	f.stops = append(f.stops, stop)
	return c, client
}

// readStore makes a router call the store, as every router does every few seconds.
func readStore(t *testing.T, client *store.Client) {
	t.Helper()
	// Whether the row exists does not matter.
	_, _ = client.Get(context.Background(), "config_head", "head")
}

// Guards against a request that runs twice: it has run under a claim, the store is restored from a
// snapshot without that claim, and the caller retries at another router. The second router must not
// get a ticket, because a missing claim does not prove that the key was never claimed.
func TestLostClaimIsRewrittenAfterStoreRollback(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, firstClient := f.newRouter()
		second, secondClient := f.newRouter()
		readStore(t, firstClient)
		readStore(t, secondClient)
		snapshot := f.store.Snapshot()
		ticket, _, kind := begin(first, time.Second)
		if ticket == nil {
			t.Fatalf("got no ticket and kind %q", kind)
		}
		want := claim.Answer{Status: 200, Body: []byte("booked")}
		first.Finish(ticket, want)
		pause.Sleep(t.Context(), time.Second)
		f.store.RollBack(snapshot)
		if ticket, _, kind := begin(second, time.Second); ticket != nil || kind != claim.Restored {
			t.Errorf("second router right after the rollback: got ticket %v and kind %q, want kind restored", ticket, kind)
		}
		readStore(t, firstClient)
		pause.Sleep(t.Context(), claim.RestoreDelay)
		ticket, got, kind := begin(second, time.Second)
		if ticket != nil || got == nil {
			t.Fatalf("second router after the restore delay: got ticket %v and kind %q, want the answer", ticket, kind)
		}
		if diff := cmp.Diff(want, *got); diff != "" {
			t.Error(diff)
		}
	})
}

// A request that still runs during a store rollback keeps its claim, and its outcome is recorded.
func TestRunningRequestKeepsClaimAcrossStoreRollback(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, firstClient := f.newRouter()
		second, secondClient := f.newRouter()
		readStore(t, firstClient)
		readStore(t, secondClient)
		snapshot := f.store.Snapshot()
		ticket, _, _ := begin(first, time.Second)
		f.store.RollBack(snapshot)
		readStore(t, firstClient)
		readStore(t, secondClient)
		pause.Sleep(t.Context(), claim.RestoreDelay)
		if again, _, kind := begin(second, 100*time.Millisecond); again != nil || kind != claim.Running {
			t.Errorf("while the request runs: got ticket %v and kind %q, want kind running", again, kind)
		}
		first.Finish(ticket, claim.Answer{Status: 200})
		pause.Sleep(t.Context(), time.Second)
		if _, got, kind := begin(second, time.Second); got == nil {
			t.Errorf("after the request ended: got kind %q, want the answer", kind)
		}
	})
}

// A claim that was released before a store rollback can be made again after it, with a greater
// fencing token.
func TestReleasedClaimAfterStoreRollback(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, client := f.newRouter()
		readStore(t, client)
		snapshot := f.store.Snapshot()
		ticket, _, _ := begin(first, time.Second)
		first.Release(ticket)
		pause.Sleep(t.Context(), time.Second)
		f.store.RollBack(snapshot)
		readStore(t, client)
		pause.Sleep(t.Context(), claim.RestoreDelay)
		again, _, kind := begin(first, time.Second)
		if again == nil {
			t.Fatalf("got no ticket and kind %q", kind)
		}
		if again.Fence() <= ticket.Fence() {
			t.Errorf("got fencing token %d, want one greater than %d", again.Fence(), ticket.Fence())
		}
	})
}

// TestRequestsRunOnceAcrossStoreRollbacks has three routers repeatedly begin, finish and release
// one request, while the store is restored from snapshots up to some seconds old. Each router calls
// the store every half second. No ticket may be issued while the request runs or after it has run.
func TestRequestsRunOnceAcrossStoreRollbacks(t *testing.T) {
	for seed := range sched.Seeds(150) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			defer f.close()
			runWithRollbacks(t, f, rand.New(rand.NewPCG(seed, seed)), false)
		})
	}
}

// TestRequestsRunOnceAtRoutersThatStart is the same with further routers that start at random times,
// some of them in the moment after a rollback, and begin requests at once.
func TestRequestsRunOnceAtRoutersThatStart(t *testing.T) {
	for seed := range sched.Seeds(150) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			defer f.close()
			runWithRollbacks(t, f, rand.New(rand.NewPCG(seed, seed)), true)
		})
	}
}

// runWithRollbacks runs one random sequence. If starts is set, routers start during it.
func runWithRollbacks(t *testing.T, f *fixture, rng *rand.Rand, starts bool) {
	var routers []*claim.Claims
	var clients []*store.Client
	for range 3 {
		c, client := f.newRouter()
		readStore(t, client)
		routers, clients = append(routers, c), append(clients, client)
	}
	var ticket *claim.Ticket
	holder, ran := 0, false
	snapshot := f.store.Snapshot()
	for step := range 60 {
		i := rng.IntN(len(routers))
		if starts && rng.IntN(4) == 0 {
			c, client := f.newRouter()
			i, routers, clients = len(routers), append(routers, c), append(clients, client)
		}
		switch rng.IntN(8) {
		case 0, 1, 2:
			again, _, _ := begin(routers[i], 100*time.Millisecond)
			if again != nil && (ticket != nil || ran) {
				t.Fatalf("step %d: got a ticket for a request that runs (%v) or has run (%v)", step, ticket != nil, ran)
			}
			if again != nil {
				ticket, holder = again, i
			}
		case 3:
			if ticket != nil {
				routers[holder].Finish(ticket, claim.Answer{Status: 200})
				ticket, ran = nil, true
			}
		case 4:
			if ticket != nil {
				routers[holder].Release(ticket)
				ticket = nil
			}
		case 5:
			snapshot = f.store.Snapshot()
		case 6:
			f.store.RollBack(snapshot)
		}
		pause.Sleep(t.Context(), time.Duration(rng.IntN(500))*time.Millisecond)
		for _, client := range clients {
			readStore(t, client)
		}
	}
}

// An answer that exceeds the limit for answers held in memory is not overwritten if the store still
// has it.
func TestAnswerOverMemoryLimitStaysInStore(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		options := claim.DefaultOptions
		options.MaxRecentBytes = 0
		client := store.NewClient(f.store)
		c, stop := claim.New(client, f.objects, options, log.NewNopLogger(), time.Now)
		f.stops = append(f.stops, stop)
		ticket, _, _ := begin(c, time.Second)
		c.Finish(ticket, claim.Answer{Status: 200, Body: []byte("booked")})
		pause.Sleep(t.Context(), time.Second)
		f.store.RollBack(f.store.Snapshot())
		readStore(t, client)
		pause.Sleep(t.Context(), claim.RestoreDelay)
		if _, got, kind := begin(c, time.Second); got == nil {
			t.Errorf("got kind %q, want the answer", kind)
		}
	})
}
