package claim_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/table"
	"valescale/internal/share/claim"
)

func TestSweepRemovesExpiredClaims(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		c := f.router()
		done, sent := claim.Key{Workspace: "w", Name: "done"}, claim.Key{Workspace: "w", Name: "held"}
		ticket, _, err := c.Begin(context.Background(), done, hash)
		if err != nil {
			t.Fatal(err)
		}
		c.Finish(ticket, claim.Answer{Status: 200})
		if _, _, err := c.Begin(context.Background(), sent, hash); err != nil {
			t.Fatal(err)
		}
		<-time.After(time.Second)
		sweep := func(later time.Duration) int {
			clock := func() time.Time { return time.Now().Add(later) }
			n, err := claim.NewSweeper(f.store, claim.DefaultRetention, clock).SweepPage(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		got := []int{sweep(0), sweep(claim.DefaultRetention.Ended * 2), sweep(claim.DefaultRetention.Ended * 2), sweep(claim.DefaultRetention.Sent * 2)}
		// Both claims are recent at first. The ended one expires before the one with an unknown
		// outcome.
		if diff := cmp.Diff([]int{0, 1, 0, 1}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against deleting a claim that was retaken between the sweeper's scan and its delete, as
// can happen while two lease holders sweep at once.
func TestSweepKeepsRetakenClaim(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		c := f.router()
		ticket, _, _ := begin(c, time.Second)
		c.Release(ticket)
		<-time.After(time.Second)
		f.store.BeforeCommit(func(txn table.Txn) {
			if txn.Puts[0].Delete {
				f.store.BeforeCommit(nil)
				begin(f.router(), time.Second)
			}
		})
		later := func() time.Time { return time.Now().Add(claim.DefaultRetention.Ended * 2) }
		if n, err := claim.NewSweeper(f.store, claim.DefaultRetention, later).SweepPage(context.Background()); n != 0 || err != nil {
			t.Errorf("removed %d claims (%v), want none: the claim was retaken", n, err)
		}
		if _, _, kind := begin(f.router(), time.Second); kind != claim.Running {
			t.Errorf("got kind %q, want %q", kind, claim.Running)
		}
	})
}

func TestOperatorReleasesClaim(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		ctx := context.Background()
		c := f.router()
		ticket, _, _ := begin(c, time.Second)
		release := claim.ManualRelease{Operator: "ana", At: time.Now(), Workspace: key.Workspace, Key: key.Name, Note: "did not run"}
		if _, err := claim.ForceRelease(ctx, f.store, key, release); err != nil {
			t.Fatal(err)
		}
		rows, err := f.store.Scan(ctx, table.Range{Table: claim.AuditTable})
		if err != nil || len(rows) != 1 {
			t.Errorf("got %d audit rows (%v), want 1", len(rows), err)
		}
		if again, _, kind := begin(f.router(), time.Second); again == nil || again.Fence() <= ticket.Fence() {
			t.Errorf("got kind %q and ticket %+v, want a greater fencing token", kind, again)
		}
		_, err = claim.ForceRelease(ctx, f.store, claim.Key{Workspace: "w", Name: "none"}, release)
		if kind := fault.KindOf[claim.Kind](err); kind != claim.Running {
			t.Errorf("releasing a missing claim: got %v, want kind running", err)
		}
	})
}
