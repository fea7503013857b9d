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

// Board holds the copies of tables.
type Board struct {
	mu     sync.Mutex
	clock  ident.Clock
	logger log.Logger
	// tables are those that are followed.
	tables map[table.Name]*replica
	// moved is closed and made anew whenever rows change.
	moved chan struct{}
	// restored is called with the era of a copy that comes to be of a later one; it may be nil.
	restored func(table.Era)
}

// NewBoard returns a board without tables.
func NewBoard(logger log.Logger, clock ident.Clock) *Board {
	return &Board{clock: clock, logger: logger, tables: map[table.Name]*replica{}, moved: make(chan struct{})}
}

// OnRestored sets what is called when a copy comes to be of a later era; it must not wait or call the
// board. It must be set before the first page.
func (b *Board) OnRestored(restored func(table.Era)) { b.restored = restored }

// Change is what is new of the rows that count.
type Change struct {
	// Rows are those that count now and did not, or said something else.
	Rows []table.Row
	// Gone are the keys under which no row counts any more.
	Gone []table.Key
	// At is how far the copy goes.
	At table.Position
	of *replica
}

// All lists all rows that count, by key. It may be called only while the change is told of.
func (c Change) All() []table.Row { return c.of.counting() }

// Follow adds a table; changed is called in order after each change of rows that count, and
// must not call the board.
func (b *Board) Follow(name table.Name, rules Rules, changed func(Change)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables[name] = newReplica(rules, changed)
}

// Position returns how far a followed table's copy goes, and whether there is one.
func (b *Board) Position(name table.Name) (table.Position, bool) {
	s := b.State(name)
	return s.At, s.Known
}

// State returns how far a followed table's copy goes.
func (b *Board) State(name table.Name) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	return State{Table: name, Known: r.known, At: r.at, Rank: r.rank}
}

// Age is how long ago the store confirmed that a followed table's copy is its latest.
func (b *Board) Age(name table.Name) (age time.Duration, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	return ident.Elapsed(r.confirmed, b.clock()), r.known
}

// Take takes in a page that follows on a position of the copy, or a whole one. It
// refuses what is older than the copy or leaves a gap, but for rows that never go back.
func (b *Board) Take(name table.Name, after table.Position, page table.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	if r == nil {
		return false
	}
	if !r.follows(after, page) {
		b.tell(r, b.outrank(name, r, page), false)
		return false
	}
	newest := r.newest
	changed := b.follow(name, r, page)
	changed = b.outrank(name, r, page) || changed
	b.tell(r, changed, r.newest != newest)
	return true
}

// Outrank takes in only those rows of a page that never go back.
func (b *Board) Outrank(name table.Name, page table.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.tables[name]; r != nil {
		b.tell(r, b.outrank(name, r, page), false)
	}
}

// outrank takes in the rows of a page that never go back, and reports whether some rank above what counted;
// the caller holds the lock.
func (b *Board) outrank(name table.Name, r *replica, page table.Page) bool {
	changed := false
	for _, row := range page.Kept {
		if r.outrank(row) {
			_ = level.Warn(b.logger).Log("msg", "another router knows a later row than the store shows", "table", name,
				"key", row.Key, "rank", r.rankOf(row), "era", r.at.Era, "version", r.at.Version)
			changed = true
		}
	}
	return changed
}

// follow has a copy follow a page, logs what a whole one changed, and reports whether rows that count
// changed; the caller holds the lock.
func (b *Board) follow(name table.Name, r *replica, page table.Page) bool {
	now, was, had, known := b.clock(), r.at, len(r.rows), r.known
	r.confirm(now.Add(-page.Age))
	changed := r.take(now, page)
	if page.Whole {
		_ = level.Info(b.logger).Log("msg", "table read whole", "table", name, "era", page.At.Era, "version", page.At.Version,
			"rows", len(page.Rows), "had", had, "had_era", was.Era, "had_version", was.Version, "changed", changed, "kept", len(r.kept))
	}
	if known && page.At.Era > was.Era && b.restored != nil {
		b.restored(page.At.Era)
	}
	return changed
}

// Sweep drops kept rows whose time is over and forgets old deletions.
func (b *Board) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for _, r := range b.tables {
		b.tell(r, r.sweep(now), false)
	}
}

// Since returns what changed in a table since a state of another router's copy, or all of it to those who
// have no copy or one that is too old; known is false while there is nothing to tell.
func (b *Board) Since(have State) (page table.Page, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[have.Table]
	if r == nil || !r.known {
		return table.Page{}, false
	}
	page = r.since(have)
	page.Age = ident.Elapsed(r.confirmed, b.clock())
	return page, true
}

// Wait waits until rows change after some positions, for at most a while.
func (b *Board) Wait(ctx context.Context, after map[table.Name]table.Position, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		moved, news := b.news(after)
		if news {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-moved:
		}
	}
}

// news reports whether a table has changed rows after a position, and what is closed
// when that may change.
func (b *Board) news(after map[table.Name]table.Position) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, at := range after {
		if r := b.tables[name]; r != nil && r.known && at.Before(r.newest) {
			return nil, true
		}
	}
	return b.moved, false
}

// tell passes on which rows that count changed, if some did, and wakes those who wait if there is news for
// them; the caller holds the lock.
func (b *Board) tell(r *replica, changed, news bool) {
	if changed || news {
		close(b.moved)
		b.moved = make(chan struct{})
	}
	if !changed {
		return
	}
	change := r.change()
	if r.rules.Rank != nil {
		r.rank = r.highest(change.All())
	}
	if r.changed != nil {
		r.changed(change)
	}
}
