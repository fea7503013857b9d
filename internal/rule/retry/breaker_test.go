package retry

import (
	"testing"
	"time"
)

func TestTrippedBreakerProbesAndBacksOff(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreaker(now)
	b.Trip(now)
	if !b.Blocked(now) {
		t.Error("a tripped breaker admits requests")
	}
	now = now.Add(breakerOpenDuration)
	if b.Blocked(now) || !b.Allow(now) {
		t.Error("no probe is admitted after the open duration")
	}
	b.Trip(now)
	if !b.Blocked(now.Add(2*breakerOpenDuration - time.Millisecond)) {
		t.Error("the open duration does not grow after a failed probe")
	}
	if b.Blocked(now.Add(2 * breakerOpenDuration)) {
		t.Error("the second open duration does not end")
	}
}
