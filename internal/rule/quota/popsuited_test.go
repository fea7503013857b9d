package quota_test

import (
	"fmt"
	"testing"
	"time"

	"valescale/internal/rule/quota"
)

// popsUntil calls PopSuited until it returns the wanted waiter, which never suits, and returns how
// many others were served before it. Before each call it queues a newcomer that suits. It
// returns limit if the wanted waiter is not among the first limit waiters.
func popsUntil(t *testing.T, q *quota.Queue, wanted *quota.Waiter, limit int, newcomer func(i int) *quota.Waiter) int {
	t.Helper()
	for before := range limit {
		suited := newcomer(before)
		if rejected := q.Push(suited); rejected != nil {
			t.Fatalf("newcomer %d is rejected", before)
		}
		next, _ := q.PopSuited(start, func(w *quota.Waiter) bool { return w != wanted })
		if next == wanted {
			return before
		}
	}
	return limit
}

// A waiter that never suits the free capacity must still be served: only a limited number of
// suitable waiters may be selected instead of it.
func TestUnsuitableWaiterIsNotPassedForever(t *testing.T) {
	q := quota.NewQueue(1000, 1000)
	wanted := waiter("quiet", 1, 0)
	q.Push(wanted)
	before := popsUntil(t, q, wanted, 1000, func(i int) *quota.Waiter { return waiter(fmt.Sprint(i), 1, 0) })
	if before != 16 {
		t.Errorf("%d suitable waiters were served before the unsuitable one, want 16", before)
	}
}

// A suitable waiter is served before the one whose turn it is only if it has the same priority,
// follows closely in the fair order, and has not expired.
func TestSuitableWaiterOutOfTurn(t *testing.T) {
	cases := map[string]struct {
		other *quota.Waiter
		// ahead is the number of waiters of the same workspace queued before it.
		ahead    int
		selected bool
	}{
		"next":        {other: waiter("b", 1, 5), selected: true},
		"less urgent": {other: waiter("b", 1, 4)},
		"far behind":  {other: waiter("b", 1, 5), ahead: 17},
		"soon":        {other: waiter("b", 1, 5), ahead: 16, selected: true},
		"late":        {other: &quota.Waiter{Workspace: "b", Weight: 1, Priority: 5, Deadline: start.Add(-time.Second)}},
	}
	for name, c := range cases {
		q := quota.NewQueue(1000, 1000)
		turn := waiter("a", 1, 5)
		q.Push(turn)
		for range c.ahead {
			q.Push(waiter("b", 1, 5))
		}
		q.Push(c.other)
		next, _ := q.PopSuited(start, func(w *quota.Waiter) bool { return w == c.other })
		if got := next == c.other; got != c.selected {
			t.Errorf("%s: served out of turn: %v, want %v", name, got, c.selected)
		}
	}
}
