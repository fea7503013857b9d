package mesh

import (
	"context"
	"sync"
	"time"

	"valescale/internal/plat/pause"
)

const (
	// refreshEvery is how often pools and homes are looked at without a signal, so that
	// what failed is tried again.
	refreshEvery = time.Second
	// refreshSoon lets changes of the view that come together be followed together.
	refreshSoon = 2 * time.Millisecond
	// reconcileEvery is how often homes with a wrong count are told the right one, a
	// quarter of the time for which a home counts the permits of a router it does not hear.
	reconcileEvery = 500 * time.Millisecond
	// publishEvery is how often the routers next in line are told of counts that changed:
	// as old as that may be what a router knows that takes over from a lost home.
	publishEvery = time.Second
	// publishSoon lets counts that jump together be published together.
	publishSoon = 10 * time.Millisecond
)

// Run keeps pools and homes up to date until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { follow(ctx, m.dirty, refreshSoon, refreshEvery, m.updated) })
	wg.Go(func() { follow(ctx, m.unsettled, 0, refreshEvery, m.settle) })
	wg.Go(func() { Every(ctx, reconcileEvery, m.reconcile) })
	wg.Go(func() { follow(ctx, m.Homes.Urgent(), publishSoon, publishEvery, m.publish) })
}

// reconcile keeps homes' counts of permits and what routers hold the same.
func (m *Mesh) reconcile(ctx context.Context) {
	m.Homes.Lapse()
	m.Router.Reconcile(ctx)
	m.logCorrections()
}

const (
	// updateRest is how many times as long as an update took the next one waits. While all
	// routers start a change comes with every exchange, and each has homes found anew:
	// without a rest a small box does little else.
	updateRest = 9
	// updateRestMost bounds the rest: a target that leaves must be known within two seconds.
	updateRestMost = 400 * time.Millisecond
)

// updated brings pools and homes up to date, leaves what takes calls to another loop, and rests.
func (m *Mesh) updated(ctx context.Context) {
	began := time.Now()
	m.Update()
	signal(m.unsettled)
	pause.For(ctx, min(updateRest*time.Since(began), updateRestMost))
}

// signal asks a loop for another round, unless it has been asked already.
func signal(loop chan<- struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// Every calls work at intervals until the context ends.
func Every(ctx context.Context, interval time.Duration, work func(context.Context)) {
	// A channel that is nil never signals.
	follow(ctx, nil, 0, interval, work)
}

// follow calls work when signalled, a short while later so that signals that come
// together are followed once, and at intervals even without a signal.
func follow(ctx context.Context, signalled <-chan struct{}, soon, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signalled:
			pause.For(ctx, soon)
		case <-ticker.C:
		}
		work(ctx)
	}
}
