package route

import (
	"testing"
	"time"
)

// simulate makes n requests at one time and returns how many of them may be sent to a home. If
// decided is set, each of them is granted or rejected at once.
func (t *throttle) simulate(now time.Time, n int, decided, granted bool) int {
	allowed := 0
	for range n {
		if !t.allow(now) {
			continue
		}
		allowed++
		if decided {
			t.recordOutcome(now, granted)
		}
	}
	return allowed
}

// While homes reject nothing, every request is sent to them, however many are pending.
func TestNoThrottlingWithoutRejections(t *testing.T) {
	now := time.Unix(1000, 0)
	var undecided, granted throttle
	if got := undecided.simulate(now, 500, false, false); got != 500 {
		t.Errorf("%d of 500 requests were sent to the home while none is decided", got)
	}
	if got := granted.simulate(now, 500, true, true); got != 500 {
		t.Errorf("%d of 500 requests were sent to the home while all are granted", got)
	}
}

// Under overload a home receives a few times as many requests as it can grant, which is enough to
// use all of its capacity. Soon after it has room again it receives all requests.
func TestRejectionsThrottle(t *testing.T) {
	const (
		msPerSecond = 1000
		// grantIntervalMS is the interval at which the home can grant a request, in milliseconds.
		grantIntervalMS = 10
	)
	now := time.Unix(1000, 0)
	var one throttle
	requested, granted := 0, 0
	free := true
	for i := range 4 * msPerSecond {
		now = now.Add(time.Millisecond)
		free = free || i%grantIntervalMS == 0
		if one.allow(now) {
			requested++
			one.recordOutcome(now, free)
			if free {
				granted++
				free = false
			}
		}
	}
	if requested > 4*msPerSecond/2 {
		t.Errorf("a home that can grant %d of %d requests received %d", 4*msPerSecond/grantIntervalMS, 4*msPerSecond, requested)
	}
	if granted < 4*msPerSecond/grantIntervalMS*9/10 {
		t.Errorf("of the %d requests that the home could grant it granted %d", 4*msPerSecond/grantIntervalMS, granted)
	}
	lateRejections := 0
	for i := range 2 * msPerSecond {
		now = now.Add(time.Millisecond)
		if one.allow(now) {
			one.recordOutcome(now, true)
		} else if i >= 3*msPerSecond/2 {
			lateRejections++
		}
	}
	if lateRejections > 0 {
		t.Errorf("%d requests were rejected without a permit request 1.5 s after the last rejection", lateRejections)
	}
}
