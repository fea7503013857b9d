package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Replicas holds replicas of tables of the store.
type Replicas struct {
	mu     sync.Mutex
	clock  ident.Clock
	logger log.Logger
	// replicas holds the replicated tables by name.
	replicas map[table.Name]*replica
	// rowsChanged is closed and replaced whenever rows change.
	rowsChanged chan struct{}
	// onRestored is called with the new era when a replica moves to a later era; it may be nil.
	onRestored func(table.Era)
}

// NewReplicas returns Replicas without tables.
func NewReplicas(logger log.Logger, clock ident.Clock) *Replicas {
	return &Replicas{clock: clock, logger: logger, replicas: map[table.Name]*replica{}, rowsChanged: make(chan struct{})}
}

// OnRestored sets the function that is called when a replica moves to a later era. The function must
// not block or call the Replicas. It must be set before the first page is applied.
func (b *Replicas) OnRestored(onRestored func(table.Era)) { b.onRestored = onRestored }

// Change contains the differences between two states of a table's effective rows.
type Change struct {
	// Rows contains the effective rows that are new or whose value has changed.
	Rows []table.Row
	// Removed contains the keys that have no effective row any more.
	Removed []table.Key
	// At is the position of the replica.
	At     table.Position
	source *replica
}

// All returns all effective rows, sorted by key. It may only be called from within the change
// callback.
func (c Change) All() []table.Row { return c.source.effectiveRows() }

// AddTable adds a table. The changed callback is called in order after each change of effective
// rows, and must not call the Replicas.
func (b *Replicas) AddTable(name table.Name, rules Rules, changed func(Change)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replicas[name] = newReplica(rules, changed)
}

// Position returns the position of a table's replica, and whether the replica has been loaded.
func (b *Replicas) Position(name table.Name) (table.Position, bool) {
	s := b.State(name)
	return s.At, s.Known
}

// State returns the position and the highest rank of a table's replica.
func (b *Replicas) State(name table.Name) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[name]
	return State{Table: name, Known: r.loaded, At: r.position, Rank: r.maxRowRank}
}

// Age returns the time since the store last confirmed that a table's replica is current.
func (b *Replicas) Age(name table.Name) (age time.Duration, loaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[name]
	return ident.Elapsed(r.confirmedAt, b.clock()), r.loaded
}

// Apply applies a full snapshot, or a delta that starts at a position of the replica. It rejects
// pages that are older than the replica or leave a gap, and applies only their ranked rows in that
// case.
func (b *Replicas) Apply(name table.Name, after table.Position, page table.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[name]
	if r == nil {
		return false
	}
	if !r.accepts(after, page) {
		b.notify(r, b.mergeRanked(name, r, page), false)
		return false
	}
	lastChange := r.lastChange
	changed := b.applyAndLog(name, r, page)
	changed = b.mergeRanked(name, r, page) || changed
	b.notify(r, changed, r.lastChange != lastChange)
	return true
}

// MergeRanked applies only the ranked rows of a page.
func (b *Replicas) MergeRanked(name table.Name, page table.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[name]; r != nil {
		b.notify(r, b.mergeRanked(name, r, page), false)
	}
}

// mergeRanked applies the ranked rows of a page, and reports whether any of them ranks above the
// effective row. The caller holds the lock.
func (b *Replicas) mergeRanked(name table.Name, r *replica, page table.Page) bool {
	changed := false
	for _, row := range page.Kept {
		if r.mergeRanked(row) {
			_ = level.Warn(b.logger).Log("msg", "a peer has a row of higher rank than the store", "table", name,
				"key", row.Key, "rank", r.rankOf(row), "era", r.position.Era, "version", r.position.Version)
			changed = true
		}
	}
	return changed
}

// applyAndLog applies a page to a replica, logs the effect of a full snapshot, and reports whether
// effective rows changed. The caller holds the lock.
func (b *Replicas) applyAndLog(name table.Name, r *replica, page table.Page) bool {
	now, previous, rowsBefore, loaded := b.clock(), r.position, len(r.rows), r.loaded
	r.confirm(now.Add(-page.Age))
	changed := r.applyPage(now, page)
	if page.Full {
		_ = level.Info(b.logger).Log("msg", "table replaced by a full snapshot", "table", name, "era", page.At.Era, "version", page.At.Version,
			"rows", len(page.Rows), "had", rowsBefore, "had_era", previous.Era, "had_version", previous.Version, "changed", changed, "kept", len(r.override))
	}
	if loaded && page.At.Era > previous.Era && b.onRestored != nil {
		b.onRestored(page.At.Era)
	}
	return changed
}

// Sweep removes expired overrides and tombstones.
func (b *Replicas) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for _, r := range b.replicas {
		b.notify(r, r.expire(now), false)
	}
}

// Since returns the changes of a table since the state of a peer's replica, or a full snapshot if
// the peer has no replica or one older than the retained tombstones. The result loaded is false
// while the table has not been loaded.
func (b *Replicas) Since(have State) (page table.Page, loaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[have.Table]
	if r == nil || !r.loaded {
		return table.Page{}, false
	}
	page = r.since(have)
	page.Age = ident.Elapsed(r.confirmedAt, b.clock())
	return page, true
}

// Wait blocks until a table has changed after one of the given positions, for at most wait.
func (b *Replicas) Wait(ctx context.Context, after map[table.Name]table.Position, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rowsChanged, hasUpdates := b.hasUpdates(after)
		if hasUpdates {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-rowsChanged:
		}
	}
}

// hasUpdates reports whether a table has changed after one of the positions, and returns the channel
// that is closed at the next change.
func (b *Replicas) hasUpdates(after map[table.Name]table.Position) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, at := range after {
		if r := b.replicas[name]; r != nil && r.loaded && at.Before(r.lastChange) {
			return nil, true
		}
	}
	return b.rowsChanged, false
}

// notify calls the change callback if effective rows changed, and wakes the callers of Wait if there
// are changes or newer rows. The caller holds the lock.
func (b *Replicas) notify(r *replica, changed, newerRows bool) {
	if changed || newerRows {
		close(b.rowsChanged)
		b.rowsChanged = make(chan struct{})
	}
	if !changed {
		return
	}
	change := r.change()
	if r.rules.Rank != nil {
		r.maxRowRank = r.maxRank(change.All())
	}
	if r.changed != nil {
		r.changed(change)
	}
}
