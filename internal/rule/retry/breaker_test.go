package retry

import (
	"testing"
	"time"
)

func TestTrippedBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreaker(now)
	b.Trip(now)
	if !b.Blocked(now) {
		t.Error("a target that cannot be reached gets new work")
	}
	now = now.Add(breakerPause)
	if b.Blocked(now) || !b.Allow(now) {
		t.Error("no trial after the pause")
	}
	b.Trip(now)
	if !b.Blocked(now.Add(2*breakerPause - time.Millisecond)) {
		t.Error("the pause does not grow after a failed trial")
	}
	if b.Blocked(now.Add(2 * breakerPause)) {
		t.Error("the second pause does not end")
	}
}
