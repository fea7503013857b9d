package node

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/rule/retry"
)

// settingsEvery is how often the settings are read without a signal: they may change
// silently, and reading a file of some kilobytes costs a fraction of a millisecond.
const settingsEvery = time.Second

// adjustable is what of the settings may change while the router runs. The rest counts
// from the next start on.
type adjustable struct {
	retries    retry.Allowance
	loadFactor float64
	grace      time.Duration
}

func (s Settings) adjustable() adjustable {
	return adjustable{retries: s.Retries, loadFactor: s.LoadFactor, grace: s.Grace}
}

// followSettings reads the settings again when told to, and now and then.
func (n *Node) followSettings(ctx context.Context, told <-chan os.Signal) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	failure := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-told:
			signalled = true
		case <-ticker.C:
		}
		err := n.reload(signalled)
		if err == nil {
			failure = ""
			continue
		}
		// The same mistake is found each second until it is mended.
		if signalled || err.Error() != failure {
			_ = level.Error(n.Logger).Log("msg", "settings cannot be reloaded, the earlier ones stay", "err", err)
		}
		failure = err.Error()
	}
}

// reload takes in what has changed of the settings. It is logged if something has, or if
// a signal asked for it.
func (n *Node) reload(signalled bool) error {
	fresh, err := n.Reload()
	if err != nil {
		return err
	}
	old := n.settings.Load()
	if fresh.adjustable() == old.adjustable() && !signalled {
		return nil
	}
	next := *old
	next.Retries, next.LoadFactor, next.Grace = fresh.Retries, fresh.LoadFactor, fresh.Grace
	n.settings.Store(&next)
	n.budget.allow(n.Clock(), next.Retries)
	n.state.touch()
	n.mesh.MarkDirty()
	_ = level.Info(n.Logger).Log("msg", "reload", "signal", signalled, "retry_ratio", next.Retries.Ratio,
		"retry_extra", next.Retries.Extra, "load_factor", next.LoadFactor, "grace_ms", next.Grace.Milliseconds())
	return nil
}
