package reach

import (
	"testing"
	"time"
)

// detectionTime is the time after which a router that is cut off connects through peers each time.
const detectionTime = 3 * time.Second

// Guards against a router that asks only the peers of its own availability zone, which come first, and never
// the others while all of that zone are cut off as it is.
func TestZoneOfPeersThatCannotHelp(t *testing.T) {
	for _, hang := range []bool{true, false} {
		f := newFleet(t, 9, 6)
		near := f.routers[:7]
		for _, r := range near {
			r.cutFrom(f.targets, hang)
		}
		r := near[0]
		for began := time.Now(); time.Since(began) < detectionTime; {
			r.connects(f.targets[0])
		}
		const count = 60
		connected := 0
		for i := range count {
			if ok, _ := r.connects(f.targets[i%len(f.targets)]); ok {
				connected++
			}
		}
		if connected < count {
			t.Errorf("hang %v: %d of %d attempts connected although two peers reach the targets", hang, connected, count)
		}
	}
}
