package route

import (
	"testing"
	"time"
)

// many asks n times at one moment and returns how many may go to a home; each is granted
// or refused at once if answered says so.
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

// While homes refuse nothing, every request goes to them, however many are on their way.
func TestNoThrottlingWithoutRejections(t *testing.T) {
	now := time.Unix(1000, 0)
	var undecided, granted throttle
	if got := undecided.simulate(now, 500, false, false); got != 500 {
		t.Errorf("%d of 500 requests are asked for while none is answered", got)
	}
	if got := granted.simulate(now, 500, true, true); got != 500 {
		t.Errorf("%d of 500 requests are asked for while all are granted", got)
	}
}

// Under overload a home is asked for a few times what it can grant, which is still used in
// full, and for everything soon after it has room again.
func TestRejectionsThrottle(t *testing.T) {
	const (
		msPerSecond = 1000
		// room is how often the home can grant a request, in milliseconds.
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
		t.Errorf("a home that can grant %d of %d requests was asked for %d", 4*msPerSecond/grantIntervalMS, 4*msPerSecond, requested)
	}
	if granted < 4*msPerSecond/grantIntervalMS*9/10 {
		t.Errorf("of the %d requests that a home could grant it was asked for %d", 4*msPerSecond/grantIntervalMS, granted)
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
		t.Errorf("%d requests were refused without asking one and a half seconds after the last refusal", lateRejections)
	}
}
