package mesh

import (
	"context"
	"sync"
	"time"

	"valescale/internal/plat/pause"
)

const (
	// updateInterval is the interval at which pools and homes are updated without a signal, so that
	// failed operations are retried.
	updateInterval = time.Second
	// updateDelay batches view changes that occur in quick succession.
	updateDelay = 2 * time.Millisecond
	// reconcileInterval is the interval at which homes with a wrong permit count receive the correct
	// one. It is a quarter of the time for which a home counts the permits of a router from which it
	// receives nothing.
	reconcileInterval = 500 * time.Millisecond
	// publishInterval is the interval at which standbys receive changed counts. It limits the age of
	// the counts that a router has when it takes over from a lost home.
	publishInterval = time.Second
	// publishDelay batches counts that jump in quick succession.
	publishDelay = 10 * time.Millisecond
)

// Run keeps pools and homes up to date until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { runOnSignal(ctx, m.updateDue, updateDelay, updateInterval, m.updateAndPause) })
	wg.Go(func() { runOnSignal(ctx, m.reassignDue, 0, updateInterval, m.reassign) })
	wg.Go(func() { RunEvery(ctx, reconcileInterval, m.reconcile) })
	wg.Go(func() { runOnSignal(ctx, m.Homes.Urgent(), publishDelay, publishInterval, m.publish) })
}

// reconcile reconciles the homes' permit counts with the permits that routers hold.
func (m *Mesh) reconcile(ctx context.Context) {
	m.Homes.ExpirePermits()
	m.Router.Reconcile(ctx)
	m.logCorrections()
}

const (
	// updatePauseFactor is the ratio of the pause after an update to the update's duration. While a
	// fleet starts, every gossip exchange contains a change, and each change reassigns homes.
	// Without the pause that takes most of the CPU time of a small box.
	updatePauseFactor = 9
	// maxUpdatePause limits the pause: a leaving target must take effect within two seconds.
	maxUpdatePause = 400 * time.Millisecond
)

// updateAndPause updates pools and homes, triggers the loop for work that calls other routers, and
// pauses.
func (m *Mesh) updateAndPause(ctx context.Context) {
	start := time.Now()
	m.Update()
	trigger(m.reassignDue)
	pause.Sleep(ctx, min(updatePauseFactor*time.Since(start), maxUpdatePause))
}

// trigger requests another round of a loop unless one is already pending.
func trigger(loop chan<- struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// RunEvery calls work at intervals until the context ends.
func RunEvery(ctx context.Context, interval time.Duration, work func(context.Context)) {
	// A nil channel never signals.
	runOnSignal(ctx, nil, 0, interval, work)
}

// runOnSignal calls work after each signal, with a delay that batches signals in quick succession,
// and at intervals without a signal.
func runOnSignal(ctx context.Context, signals <-chan struct{}, delay, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			pause.Sleep(ctx, delay)
		case <-ticker.C:
		}
		work(ctx)
	}
}
