package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each rejected request receives a delay of its own: at least the time to serve the queue,
// spaced at the rate at which capacity is freed for retries, and at most MaxRetryAfter.
func TestRetryAfterDelaysAreSpread(t *testing.T) {
	const perSecond = 10
	interval := time.Duration(float64(time.Second) / (perSecond * retryCapacityRatio))
	now := time.Unix(1000, 0)
	var r RetryDelays
	var got []time.Duration
	for range 3 {
		got = append(got, r.Next(now, perSecond, time.Second))
	}
	now = now.Add(10 * time.Second)
	got = append(got, r.Next(now, perSecond, 0))
	want := []time.Duration{time.Second, time.Second + interval, time.Second + 2*interval, minRetryAfter}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for range 1000 {
		if delay := r.Next(now, perSecond, 0); delay > MaxRetryAfter {
			t.Fatalf("Retry-After delay of %v, want at most MaxRetryAfter", delay)
		}
	}
}

// A router that has just started has not measured a rate yet. It must not return delays of
// half a minute.
func TestRetryAfterDelayWithoutRate(t *testing.T) {
	var r RetryDelays
	for range 40 {
		if diff := cmp.Diff(defaultRetryAfter, r.Next(time.Unix(1000, 0), 0, 0)); diff != "" {
			t.Fatal(diff)
		}
	}
}
