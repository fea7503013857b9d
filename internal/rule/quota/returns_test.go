package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Refused callers are told times of their own: after the queue, as far apart as the room
// that they may have comes back, and never later than callers wait.
func TestTimesToComeBack(t *testing.T) {
	const perSecond = 10
	step := time.Duration(float64(time.Second) / (perSecond * returnShare))
	now := time.Unix(1000, 0)
	var r Returns
	var got []time.Duration
	for range 3 {
		got = append(got, r.Tell(now, perSecond, time.Second))
	}
	now = now.Add(10 * time.Second)
	got = append(got, r.Tell(now, perSecond, 0))
	want := []time.Duration{time.Second, time.Second + step, time.Second + 2*step, minReturn}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for range 1000 {
		if after := r.Tell(now, perSecond, 0); after > MaxReturn {
			t.Fatalf("told to come back after %v", after)
		}
	}
}

// Who has just started does not send callers away for half a minute.
func TestTimeToComeBackWithoutARate(t *testing.T) {
	var r Returns
	for range 40 {
		if diff := cmp.Diff(unknownReturn, r.Tell(time.Unix(1000, 0), 0, 0)); diff != "" {
			t.Fatal(diff)
		}
	}
}
