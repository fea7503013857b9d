package origin

import (
	"fmt"
	"testing"
	"time"

	"valescale/internal/plat/ident"
)

// outOfStep is how a router is out of step while a new version joins.
type outOfStep struct {
	// told is set if its targets were read again before the stream is taken up.
	told bool
	// rowsCurrent is set if it believes that its targets were confirmed a moment ago.
	rowsCurrent bool
	// unreachable is the number of the other routers that it does not reach, and takenForDead is set if it knows that.
	unreachable  int
	takenForDead bool
}

// Guards against a stream of a new version that goes on at the earlier one at a router which has not seen the new version join,
// because it stood still or was cut off from others, from the store, or from both: it may go on at its own version, or be
// refused.
func TestRouterOutOfStepDoesNotGuess(t *testing.T) {
	const routers = 5
	for _, told := range []bool{false, true} {
		for _, current := range []bool{false, true} {
			for unreachable := range routers {
				for _, takenForDead := range []bool{false, true} {
					c := outOfStep{told, current, unreachable, takenForDead}
					t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) { checkOutOfStep(t, routers, c) })
				}
			}
		}
	}
}

// checkOutOfStep takes up streams of a new version at a router that is out of step.
func checkOutOfStep(t *testing.T, routers int, c outOfStep) {
	f := newFleet(routers)
	f.targets("v1")
	f.record()
	f.now = f.now.Add(2 * Lifetime)
	f.record()
	f.rowsCurrent = c.rowsCurrent
	for id, o := range f.origins {
		if id != f.routers[0].ID || c.told {
			o.TargetAdded(Origin{Service: "s", Version: "v2"})
		}
	}
	for _, r := range f.routers[1:] {
		if err := f.origins[r.ID].stepRecord(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	const streams = 20
	for key := range streams {
		f.begin(1+key%(routers-1), Key(key+1), "v2")
	}
	f.now = f.now.Add(time.Second)
	lost := []ident.Router{}
	for _, r := range f.routers[routers-c.unreachable:] {
		lost = append(lost, r.ID)
	}
	if !c.takenForDead {
		f.origins["router-0"].Routers = func() []Router { return f.routers }
	}
	f.kill(lost...)
	for key := range streams {
		if got := f.find(0, Key(key+1)); got.Source != Unknown && got.Version != "v2" {
			t.Errorf("a stream of v2 is taken up: %+v", got)
		}
	}
	if got := f.find(0, 0); got.Source != Unknown && got.Version != "v2" {
		t.Errorf("a stream whose first request is not named is taken up: %+v", got)
	}
}
