package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"valescale/internal/oper/mesh"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
)

// newReloadNode returns a router whose settings file contains the settings that next points to.
func newReloadNode(old Settings, next *Settings, failure *error) (*Node, *int) {
	lines := 0
	n := &Node{Parts: Parts{
		Logger: log.LoggerFunc(func(...any) error { lines++; return nil }),
		Reload: func() (Settings, error) { return *next, *failure },
		Clock:  time.Now,
	}}
	n.settings.Store(&old)
	n.state = newState(nil, n.Logger, time.Now)
	n.retryBudget = newRetryBudget(time.Now(), old.RetryAllowance, func() int { return 1 })
	n.mesh = mesh.New(mesh.Parts{})
	return n, &lines
}

// Settings that change without a signal are applied, and only those that may change while a router
// runs.
func TestReloadWithoutSignal(t *testing.T) {
	old := Settings{ID: "r", ReadyPath: "/ready", LoadFactor: 2, GracePeriod: 8 * time.Second, RetryAllowance: retry.Allowance{Extra: 56}}
	next, failure := old, error(nil)
	n, lines := newReloadNode(old, &next, &failure)
	if err := n.reload(false); err != nil || *lines != 0 || n.state.poolConfig().CapacityVersion != 0 {
		t.Errorf("unchanged settings: error %v, %d log lines, generation %d", err, *lines, n.state.poolConfig().CapacityVersion)
	}
	next = Settings{ID: "other", LoadFactor: 3, GracePeriod: 4 * time.Second, Memory: 64 * memory.MB, RetryAllowance: retry.Allowance{Extra: 10}}
	if err := n.reload(false); err != nil {
		t.Fatal(err)
	}
	want := Settings{ID: "r", ReadyPath: "/ready", LoadFactor: 3, GracePeriod: 4 * time.Second, Memory: 64 * memory.MB, RetryAllowance: retry.Allowance{Extra: 10}}
	if diff := cmp.Diff(want, *n.settings.Load()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(next.RetryAllowance, n.retryBudget.allowance); diff != "" {
		t.Error(diff)
	}
	if n.state.poolConfig().CapacityVersion == 0 {
		t.Error("pools are not rebuilt with the new load factor")
	}
	failure = errors.New("line 3: no equals sign")
	if err := n.reload(true); err == nil {
		t.Error("an error in the settings is not reported")
	}
	if diff := cmp.Diff(want, *n.settings.Load()); diff != "" {
		t.Errorf("after an error: %s", diff)
	}
}
