package node

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
)

// settingsInterval is the interval at which the settings are read without a signal. They may change
// without one, and reading a file of a few kilobytes takes a fraction of a millisecond.
const settingsInterval = time.Second

// reloadable contains the settings that may change while the router runs. The other settings apply
// from the next start.
type reloadable struct {
	retries    retry.Allowance
	loadFactor float64
	grace      time.Duration
	memory     memory.Bytes
}

func (s Settings) reloadable() reloadable {
	return reloadable{retries: s.RetryAllowance, loadFactor: s.LoadFactor, grace: s.GracePeriod, memory: s.Memory}
}

// watchSettings reloads the settings on a signal and periodically.
func (n *Node) watchSettings(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		err := n.reload(signalled)
		if err == nil {
			lastError = ""
			continue
		}
		// The same error occurs every second until it is corrected.
		if signalled || err.Error() != lastError {
			_ = level.Error(n.Logger).Log("msg", "settings reload failed, keeping the previous settings", "err", err)
		}
		lastError = err.Error()
	}
}

// reload applies the settings that have changed. It logs the reload if any has, or if a signal
// requested it.
func (n *Node) reload(signalled bool) error {
	fresh, err := n.Reload()
	if err != nil {
		return err
	}
	old := n.settings.Load()
	if fresh.reloadable() == old.reloadable() && !signalled {
		return nil
	}
	next := *old
	next.RetryAllowance, next.LoadFactor, next.GracePeriod = fresh.RetryAllowance, fresh.LoadFactor, fresh.GracePeriod
	next.Memory = fresh.Memory
	n.settings.Store(&next)
	n.retryBudget.setAllowance(n.Clock(), next.RetryAllowance)
	n.state.invalidatePools()
	n.mesh.RequestUpdate()
	_ = level.Info(n.Logger).Log("msg", "reload", "signal", signalled, "retry_ratio", next.RetryAllowance.Ratio,
		"retry_extra", next.RetryAllowance.Extra, "load_factor", next.LoadFactor, "grace_ms", next.GracePeriod.Milliseconds(), "memory_bytes", int64(next.Memory))
	return nil
}
