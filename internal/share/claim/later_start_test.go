package claim_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/store"
	"valescale/internal/plat/pause"
	"valescale/internal/share/claim"
)

// runOnce makes a router run the request under the key, and waits until its claim is written.
func runOnce(t *testing.T, c *claim.Claims) claim.Answer {
	t.Helper()
	ticket, _, kind := begin(c, time.Second)
	if ticket == nil {
		t.Fatalf("first request: got no ticket and kind %q", kind)
	}
	answer := claim.Answer{Status: 200, Body: []byte("booked")}
	c.Finish(ticket, answer)
	pause.Sleep(t.Context(), time.Second)
	return answer
}

// Guards against a request that runs twice: its claim is lost in a store rollback, and the caller
// retries at a router that starts only then and has observed no other era.
func TestLostClaimAtRouterThatStartsAfterStoreRollback(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, firstClient := f.newRouter()
		readStore(t, firstClient)
		snapshot := f.store.Snapshot()
		want := runOnce(t, first)
		f.store.RollBack(snapshot)
		second, secondClient := f.newRouter()
		readStore(t, secondClient)
		if ticket, _, kind := begin(second, time.Second); ticket != nil || kind != claim.Restored {
			t.Errorf("at its start: got ticket %v and kind %q, want kind restored", ticket, kind)
		}
		readStore(t, firstClient)
		pause.Sleep(t.Context(), claim.RestoreDelay)
		ticket, got, kind := begin(second, time.Second)
		if ticket != nil || got == nil {
			t.Fatalf("after the restore delay: got ticket %v and kind %q, want the answer", ticket, kind)
		}
		if diff := cmp.Diff(want, *got); diff != "" {
			t.Error(diff)
		}
	})
}

// As above, with a claim as the first call that the router makes: it hears of the era only then.
func TestFirstCallAfterStoreRollbackIsAClaim(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, firstClient := f.newRouter()
		readStore(t, firstClient)
		snapshot := f.store.Snapshot()
		runOnce(t, first)
		f.store.RollBack(snapshot)
		second, _ := f.newRouter()
		if ticket, _, kind := begin(second, time.Second); ticket != nil || kind != claim.Restored {
			t.Errorf("got ticket %v and kind %q, want kind restored", ticket, kind)
		}
		readStore(t, firstClient)
		pause.Sleep(t.Context(), claim.RestoreDelay)
		if ticket, got, kind := begin(second, time.Second); got == nil {
			t.Errorf("after the restore delay: got ticket %v and kind %q, want the answer", ticket, kind)
		}
	})
}

// Guards against requests rejected for RestoreDelay whenever all routers start, although a router
// has waited in this era already. After the next rollback its record does not count.
func TestStartLongAfterStoreRollbackDoesNotWait(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		settle(t, f)
		snapshot := f.store.Snapshot()
		second, secondClient := f.newRouter()
		readStore(t, secondClient)
		if _, got, kind := begin(second, time.Second); got == nil {
			t.Errorf("in the era in which a router has waited: got kind %q, want the answer", kind)
		}
		f.store.RollBack(snapshot)
		third, thirdClient := f.newRouter()
		readStore(t, thirdClient)
		if ticket, _, kind := begin(third, time.Second); ticket != nil || kind != claim.Restored {
			t.Errorf("in the next era: got ticket %v and kind %q, want kind restored", ticket, kind)
		}
	})
}

// settle restores the store, and makes a router run the request after it has waited.
func settle(t *testing.T, f *fixture) {
	t.Helper()
	first, client := f.newRouter()
	f.store.RollBack(store.Snapshot{})
	readStore(t, client)
	pause.Sleep(t.Context(), claim.RestoreDelay)
	runOnce(t, first)
}

// A router that starts with a store that was never restored does not wait.
func TestFirstStartDoesNotWait(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, client := f.newRouter()
		readStore(t, client)
		runOnce(t, first)
	})
}

// Guards against a request that runs twice: its claim is lost in a store rollback while the router
// that holds it stands still, or does not reach the store, for longer than RestoreDelay.
func TestHolderPausedAcrossStoreRollback(t *testing.T) {
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
		f.store.RollBack(snapshot)
		readStore(t, secondClient)
		pause.Sleep(t.Context(), claim.RestoreDelay+time.Second)
		if again, _, kind := begin(second, time.Second); again != nil {
			t.Errorf("while the request runs under attempt %s: got ticket %s (kind %q)", ticket.Attempt, again.Attempt, kind)
		}
	})
}
