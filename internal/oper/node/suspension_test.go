package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a router that wakes up and takes what it received before for current, until it is confirmed.
func TestConfirmationsBeforeASuspensionDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSuspension(func() time.Time { return now })
	var got []bool
	step := func(d, age time.Duration) {
		now = now.Add(d)
		got = append(got, s.coversAge(age))
	}
	// Without a suspension, a store that does not answer makes nothing outdated.
	for range 20 {
		now = now.Add(runInterval)
		s.recordRun()
	}
	step(0, 10*time.Second)
	step(minSuspension, minSuspension)
	step(runInterval, minSuspension+runInterval)
	step(runInterval, runInterval)
	step(runInterval, 2*runInterval)
	if diff := cmp.Diff([]bool{true, false, false, true, true}, got); diff != "" {
		t.Error(diff)
	}
}
