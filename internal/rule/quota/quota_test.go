package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func waiter(w string, weight, priority int) *quota.Waiter {
	return &quota.Waiter{Workspace: ident.Workspace(w), Weight: weight, Priority: priority, Work: ident.OneRequest}
}

// popWorkspaces pops up to n waiters and returns their workspaces.
func popWorkspaces(q *quota.Queue, n int) []ident.Workspace {
	var out []ident.Workspace
	for range n {
		w, _ := q.Pop(start)
		if w == nil {
			break
		}
		out = append(out, w.Workspace)
	}
	return out
}

func TestSurgingWorkspaceDoesNotDelayOthers(t *testing.T) {
	q := quota.NewQueue(1000, 1000)
	for range 100 {
		q.Push(waiter("surge", 1, 5))
	}
	popWorkspaces(q, 20)
	q.Push(waiter("quiet", 1, 5))
	if got := popWorkspaces(q, 2); got[0] != "quiet" && got[1] != "quiet" {
		t.Errorf("the waiter of the quiet workspace is not among the next two: %v", got)
	}
}

func TestWeightsAndPriorities(t *testing.T) {
	q := quota.NewQueue(1000, 1000)
	for range 60 {
		q.Push(waiter("light", 1, 5))
		q.Push(waiter("heavy", 3, 5))
	}
	q.Push(waiter("urgent", 1, 9))
	got := map[ident.Workspace]int{}
	for i, w := range popWorkspaces(q, 41) {
		if i == 0 && w != "urgent" {
			t.Errorf("%s was served before the higher priority", w)
		}
		got[w]++
	}
	want := map[ident.Workspace]int{"urgent": 1, "light": 10, "heavy": 30}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestFullQueueRejectsLowestPriority(t *testing.T) {
	q := quota.NewQueue(2, 2)
	low := waiter("a", 1, 1)
	q.Push(low)
	q.Push(waiter("b", 1, 5))
	if rejected := q.Push(waiter("c", 1, 5)); rejected != low {
		t.Errorf("rejected %+v, want the waiter of the low priority", rejected)
	}
	equal := waiter("d", 1, 5)
	if rejected := q.Push(equal); rejected != equal {
		t.Errorf("rejected %+v, want the newcomer", rejected)
	}
	q = quota.NewQueue(10, 1)
	q.Push(waiter("a", 1, 5))
	again := waiter("a", 1, 9)
	if rejected := q.Push(again); rejected != again {
		t.Error("a workspace exceeds its limit of waiters")
	}
}

func TestExpiredAndRemovedWaiters(t *testing.T) {
	q := quota.NewQueue(10, 10)
	late, removed, next := waiter("a", 1, 5), waiter("b", 1, 5), waiter("c", 1, 5)
	late.Deadline = start.Add(-time.Second)
	for _, w := range []*quota.Waiter{late, removed, next} {
		q.Push(w)
	}
	q.Remove(removed)
	q.Remove(removed)
	got, expired := q.Pop(start)
	if got != next || len(expired) != 1 || expired[0] != late || q.Len() != 0 {
		t.Errorf("popped %+v with %d late, %d left", got, len(expired), q.Len())
	}
	q.Push(next)
	popped, _ := q.Pop(start)
	q.Restore(popped)
	if again, _ := q.Pop(start); again != next {
		t.Error("a returned waiter is lost")
	}
}

func TestBucketLimitsFleetRate(t *testing.T) {
	b := quota.NewBucket(start, 10, 5)
	allowances := make([]quota.Allowance, 8)
	served := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		a := &allowances[ms%len(allowances)]
		if a.Take(now) {
			served++
			continue
		}
		if _, denied := a.Denied(now); denied {
			continue
		}
		granted, retryAfter := b.Grant(now, a.RequestSize(now))
		a.RecordGrant(now, granted, retryAfter)
		if granted > 0 && a.Take(now) {
			served++
		}
	}
	if served < 90 || served > 106 {
		t.Errorf("%d requests in 10 s at a rate of 10 a second and a burst of 5", served)
	}
}

func TestTwoHomesGrantAtMostTwiceTheRate(t *testing.T) {
	old := quota.NewBucket(start, 10, 100)
	old.Grant(start, 100)
	fresh := quota.NewColdBucket(start, 10, 100)
	granted := 0
	for s := range 5 {
		now := start.Add(time.Duration(s+1) * time.Second)
		for _, b := range []*quota.Bucket{old, fresh} {
			n, _ := b.Grant(now, 1000)
			granted += n
		}
	}
	if granted != 100 {
		t.Errorf("%d granted by two homes in 5 s at 10 a second, want 100", granted)
	}
}

func TestAllowanceWithoutHome(t *testing.T) {
	var a quota.Allowance
	served := 0
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		a.GrantLocally(now, 16, 8)
		if a.Take(now) {
			served++
		}
	}
	if served < 7 || served > 10 {
		t.Errorf("%d requests in 4 s of an eighth of 16 a second, want about 8", served)
	}
}

// Guards against a workspace without tokens after its home crashed: the grant has been used
// up, and no router answers the next token request.
func TestHomeUnreachableAfterGrant(t *testing.T) {
	var a quota.Allowance
	a.RecordGrant(start, 1, 0)
	a.Take(start)
	a.GrantLocally(start, 16, 2)
	if !a.Take(start) {
		t.Error("no token while the home is unreachable")
	}
}

func TestBucketLimitsChange(t *testing.T) {
	b := quota.NewBucket(start, 10, 100)
	b.Set(start, 1, 3)
	if n, _ := b.Grant(start, 50); n != 3 {
		t.Errorf("granted %d after the burst was lowered to 3", n)
	}
	_, retryAfter := b.Grant(start, 1)
	if diff := cmp.Diff("1s", fmt.Sprint(retryAfter)); diff != "" {
		t.Error(diff)
	}
}

// Under sustained overload, requests of high priority are served first, and those of low
// priority still receive a part of their demand.
func TestLowPriorityDoesNotStarve(t *testing.T) {
	q := quota.NewQueue(1000, 1000)
	for range 100 {
		q.Push(waiter("a", 1, 9))
		q.Push(waiter("b", 1, 1))
	}
	got := map[ident.Workspace]int{}
	for range 80 {
		w, _ := q.Pop(start)
		// No engine had capacity: the next Pop must repeat the same turn.
		q.Restore(w)
		w, _ = q.Pop(start)
		got[w.Workspace]++
		q.Push(waiter(string(w.Workspace), 1, w.Priority))
	}
	if got["a"] < 40 || got["b"] < 15 {
		t.Errorf("of 80 turns the high priority received %d, the low priority %d", got["a"], got["b"])
	}
}

// Ahead must be an upper bound on the turns before the newcomer's own.
func TestAheadBoundsTurns(t *testing.T) {
	for _, newcomer := range []*quota.Waiter{waiter("quiet", 1, 5), waiter("surge", 1, 9), waiter("surge", 1, 1)} {
		q := quota.NewQueue(1000, 1000)
		for i := range 60 {
			q.Push(waiter("surge", 1, 1+4*(i%3)))
		}
		ahead := q.Ahead(newcomer)
		q.Push(newcomer)
		turns := 0
		for next, _ := q.Pop(start); next != newcomer; next, _ = q.Pop(start) {
			turns++
		}
		if turns > ahead {
			t.Errorf("priority %d of %s: served after %d turns, Ahead returned %d", newcomer.Priority, newcomer.Workspace, turns, ahead)
		}
	}
}
