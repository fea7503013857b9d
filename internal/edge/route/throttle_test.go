package route

import (
	"testing"
	"time"
)

// many asks n times at one moment and returns how many may go to a home; each is granted
// or refused at once if answered says so.
func (t *throttle) many(now time.Time, n int, answered, granted bool) int {
	asked := 0
	for range n {
		if !t.admits(now) {
			continue
		}
		asked++
		if answered {
			t.learn(now, granted)
		}
	}
	return asked
}

// While homes refuse nothing, every request goes to them, however many are on their way.
func TestNothingIsThrottledWithoutRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	var unanswered, granted throttle
	if got := unanswered.many(now, 500, false, false); got != 500 {
		t.Errorf("%d of 500 requests are asked for while none is answered", got)
	}
	if got := granted.many(now, 500, true, true); got != 500 {
		t.Errorf("%d of 500 requests are asked for while all are granted", got)
	}
}

// Under overload a home is asked for a few times what it can grant, which is still used in
// full, and for everything soon after it has room again.
func TestRefusalsThrottle(t *testing.T) {
	const (
		second = 1000
		// room is how often the home can grant a request, in milliseconds.
		room = 10
	)
	now := time.Unix(1000, 0)
	var one throttle
	asked, granted := 0, 0
	free := true
	for i := range 4 * second {
		now = now.Add(time.Millisecond)
		free = free || i%room == 0
		if one.admits(now) {
			asked++
			one.learn(now, free)
			if free {
				granted++
				free = false
			}
		}
	}
	if asked > 4*second/2 {
		t.Errorf("a home that can grant %d of %d requests was asked for %d", 4*second/room, 4*second, asked)
	}
	if granted < 4*second/room*9/10 {
		t.Errorf("of the %d requests that a home could grant it was asked for %d", 4*second/room, granted)
	}
	late := 0
	for i := range 2 * second {
		now = now.Add(time.Millisecond)
		if one.admits(now) {
			one.learn(now, true)
		} else if i >= 3*second/2 {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests were refused without asking one and a half seconds after the last refusal", late)
	}
}
