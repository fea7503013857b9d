package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
)

// namedStatuses are Rows of which only the name of the status table is used.
type namedStatuses struct{ Rows }

func (namedStatuses) StatusTable() table.Name { return "status" }

// Guards against a router that is ready before it has read which versions have been reverted or replaced, and
// against one that is never ready since it cannot read that.
func TestReadyAfterStatuses(t *testing.T) {
	loaded := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		ratio  float64
		read   bool
		waited time.Duration
		want   bool
	}{
		{"not read", maxCanaryRatio, false, statusTimeout, false},
		{"not read within the limit", maxCanaryRatio, false, statusTimeout + time.Millisecond, true},
		{"read", maxCanaryRatio, true, 0, true},
		{"no rollouts", 0, false, 0, true},
	} {
		clock := func() time.Time { return loaded.Add(c.waited) }
		n := &Node{replicas: feed.NewReplicas(log.NewNopLogger(), clock), rollouts: newRollouts(c.ratio, 1, log.NewNopLogger(), clock)}
		n.Rows, n.Logger, n.Clock = namedStatuses{}, log.NewNopLogger(), clock
		if n.rollouts.enabled() {
			n.followStatuses()
		}
		if c.read {
			n.replicas.Apply("status", table.Position{}, table.Page{Full: true, At: table.Position{Era: 1, Version: 1}})
		}
		if diff := cmp.Diff(c.want, n.statusesRead(loaded)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
