package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// Source reads tables from the store.
type Source interface {
	// All reads a full snapshot of a table. It fails if one of its pages takes too long.
	All(ctx context.Context, name table.Name) (table.Page, error)
	// Changes waits up to wait for changes after a version.
	Changes(ctx context.Context, name table.Name, after table.Version, wait time.Duration) (table.Page, error)
	// AdvanceTo reports the era of the replica, which may have been updated from a peer.
	AdvanceTo(era table.Era)
}

// Follower updates one table's replica from the store while the router's role requires it.
type Follower struct {
	replicas *Replicas
	source   Source
	name     table.Name
	timing   Timing
	roles    *Roles
	logger   log.Logger
	rng      *rand.Rand
	// needsFullRead is set when the next call must read a full snapshot.
	needsFullRead bool
	// storeBehind is set while full snapshots are older than the replica.
	storeBehind bool
	// backoff is the delay after the latest failure, zero after a success.
	backoff time.Duration
}

// NewFollower returns a follower of a table of the Replicas.
func NewFollower(replicas *Replicas, source Source, name table.Name, timing Timing, roles *Roles, logger log.Logger, seed uint64) *Follower {
	return &Follower{
		replicas: replicas, source: source, name: name, timing: timing, roles: roles, logger: logger,
		rng: rand.New(rand.NewPCG(seed, uint64(len(name)))),
	}
}

// Run updates the replica until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.roles.awaitStore(ctx) {
			return
		}
		before, _ := f.replicas.Position(f.name)
		if err := f.Step(ctx); err != nil {
			f.recordFailure(ctx, err)
			f.waitAfterFailure(ctx)
			continue
		}
		f.recordSuccess()
		if after, _ := f.replicas.Position(f.name); after != before {
			pause.Sleep(ctx, f.timing.BatchDelay)
		}
	}
}

// Step makes one call to the store and applies its response.
func (f *Follower) Step(ctx context.Context) error {
	at, loaded := f.replicas.Position(f.name)
	f.source.AdvanceTo(at.Era)
	if !loaded || f.needsFullRead {
		return f.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timing.StoreWait+f.timing.TimeoutMargin)
	defer cancel()
	page, err := f.source.Changes(ctx, f.name, at.Version, f.timing.StoreWait)
	if table.KindOf(err) == table.Compacted {
		_ = level.Warn(f.logger).Log("msg", "table change log compacted, reading a full snapshot", "table", f.name, "era", at.Era, "version", at.Version)
		f.needsFullRead = true
		return nil
	}
	if err != nil {
		return err
	}
	if page.At.Era > at.Era {
		f.needsFullRead = true
		return nil
	}
	// The page is rejected without harm if a peer has updated the replica meanwhile.
	f.replicas.Apply(f.name, at, page)
	return nil
}

// readAll reads a full snapshot. A store that was restored without reporting a new era returns an
// older state, which is ignored until its version has caught up.
func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.timing.FullReadTimeout)
	defer cancel()
	page, err := f.source.All(ctx, f.name)
	if err != nil {
		return err
	}
	page.Full = true
	if !f.replicas.Apply(f.name, table.Position{}, page) {
		f.logStoreBehind(page.At)
		pause.Sleep(ctx, f.timing.MaxBackoff)
		return nil
	}
	f.needsFullRead, f.storeBehind = false, false
	return nil
}

// logStoreBehind logs the first of consecutive older snapshots.
func (f *Follower) logStoreBehind(page table.Position) {
	if f.storeBehind {
		return
	}
	f.storeBehind = true
	at, _ := f.replicas.Position(f.name)
	_ = level.Warn(f.logger).Log("msg", "store returned an older state", "table", f.name,
		"era", page.Era, "version", page.Version, "have_era", at.Era, "have", at.Version)
}

// recordFailure records a failed call and logs the first of consecutive failures.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if f.backoff == 0 && ctx.Err() == nil {
		_ = level.Warn(f.logger).Log("msg", "dependency lost", "dependency", "store", "table", f.name, "err", err)
	}
	f.roles.setStoreFailed(f.name, true)
}

// recordSuccess records a successful call and logs the first one after failures.
func (f *Follower) recordSuccess() {
	if f.backoff > 0 {
		at, _ := f.replicas.Position(f.name)
		_ = level.Info(f.logger).Log("msg", "dependency regained", "dependency", "store", "table", f.name, "era", at.Era, "version", at.Version)
	}
	f.backoff = 0
	f.roles.setStoreFailed(f.name, false)
}

// waitAfterFailure waits after a failed call. It waits longer while peers respond, until they stop
// responding or this router becomes a reader.
func (f *Follower) waitAfterFailure(ctx context.Context) {
	pause.Sleep(ctx, f.nextBackoff())
	remaining := f.timing.MaxChildBackoff/2 + time.Duration(f.rng.Int64N(int64(f.timing.MaxChildBackoff/2)+1))
	for remaining > 0 && f.roles.leavesStoreToReaders() && pause.Sleep(ctx, f.timing.MaxBackoff) {
		remaining -= f.timing.MaxBackoff
	}
}

// nextBackoff doubles the backoff with each failure and adds jitter of up to half, so that routers
// do not all call a recovered store at once.
func (f *Follower) nextBackoff() time.Duration {
	f.backoff = min(max(2*f.backoff, f.timing.MinBackoff), f.timing.MaxBackoff)
	return f.backoff/2 + time.Duration(f.rng.Int64N(int64(f.backoff/2)+1))
}
