package peer

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Callers may sort or truncate the returned keys without changing the result of later calls.
func TestChangesSinceReturnsCopy(t *testing.T) {
	var c changes[string]
	for _, key := range []string{"b", "a", "b", "c"} {
		c.add(key)
	}
	got, _ := c.since(0)
	slices.Sort(got)
	clear(slices.Compact(got))
	again, known := c.since(2)
	if diff := cmp.Diff([]string{"b", "c"}, again); diff != "" || !known {
		t.Errorf("known %v: %s", known, diff)
	}
}
