package peer

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Whoever asks what changed may sort or shorten what it got; others are told the same as before.
func TestWhatChangedIsTheAskersOwn(t *testing.T) {
	var c changes[string]
	for _, key := range []string{"b", "a", "b", "c"} {
		c.note(key)
	}
	got, _ := c.since(0)
	slices.Sort(got)
	clear(slices.Compact(got))
	again, known := c.since(2)
	if diff := cmp.Diff([]string{"b", "c"}, again); diff != "" || !known {
		t.Errorf("known %v: %s", known, diff)
	}
}
