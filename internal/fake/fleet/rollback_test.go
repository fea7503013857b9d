package fleet_test

import (
	"fmt"
	"testing"

	"valescale/internal/fake/fleet"
	"valescale/internal/rule/retry"
)

// The table service is restored from an older snapshot, which lacks orders that have run and the
// latest configuration. If routers keep what they wrote in the table service alone, repeated orders
// run twice, changes by operators do not last, and routers that start put the older configuration
// in force.
func TestFleetAfterStoreRollback(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 2, Plain: 2})
	snapshot := b.Store.Snapshot()
	second := b.apply(t, "second", configurationText()+"\n[service extra]\nkind = plain\n")
	orders := 12
	for i := range orders {
		if r := b.caller.Order(b.ctx, b.Routers[i%3].CallerAddr(), fmt.Sprint("order-", i), "roses"); r.Outcome != retry.Done {
			t.Fatalf("order %d returned %+v", i, r)
		}
	}
	b.Store.RollBack(snapshot)
	for i := range orders {
		// The caller repeats the order at another router until it is answered.
		b.waitFor(t, fmt.Sprintf("order %d is answered", i), func() bool {
			return b.caller.Order(b.ctx, b.Routers[(i+1)%3].CallerAddr(), fmt.Sprint("order-", i), "roses").Outcome == retry.Done
		})
	}
	runs := map[string]int{}
	for _, p := range b.Plain {
		for key, n := range p.Runs() {
			runs[key] += n
		}
	}
	for i := range orders {
		if n := runs[fmt.Sprint("order-", i)]; n != 1 {
			t.Errorf("order %d ran %d times", i, n)
		}
	}
	started, err := b.AddRouter(3)
	if err != nil {
		t.Fatal(err)
	}
	b.waitFor(t, "the started router is ready", started.Ready)
	for _, r := range b.Routers {
		if got := r.Revision(); got != second {
			t.Errorf("router has revision %d in force, want %d", got, second)
		}
	}
	if third := b.apply(t, "third", configurationText()); third != second+1 {
		t.Errorf("the next change got revision %d, want %d", third, second+1)
	}
}
