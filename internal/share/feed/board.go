package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Board holds the copies of tables.
type Board struct {
	mu     sync.Mutex
	clock  ident.Clock
	tables map[table.Name]*replica
	// moved is closed and made anew whenever rows change.
	moved chan struct{}
}

// replica is the copy of one table.
type replica struct {
	rows map[table.Key]table.Row
	// deleted are rows that went, for those who ask what changed.
	deleted map[table.Key]deletion
	// floor is the version from which on all changes are known.
	floor   table.Version
	version table.Version
	known   bool
	// confirmed is when the store last said that there is nothing later.
	confirmed time.Time
	// regained is when the store was first heard again after an outage.
	regained time.Time
	// lapsed are rows that went with an outage and still count for a while.
	lapsed  map[table.Key]lapse
	changed func([]table.Row)
}

type deletion struct {
	version table.Version
	at      time.Time
}

type lapse struct {
	row   table.Row
	until time.Time
}

const (
	// LapseGrace is how long after the store's return a row that went meanwhile still
	// counts. The platform has live targets write theirs again within about two seconds.
	LapseGrace = 2200 * time.Millisecond
	// outage is the shortest silence of the store after which rows can have gone because
	// of it: a target's row goes after three missed heartbeats of about a second.
	outage = 2500 * time.Millisecond
	// keepDeleted is how long deletions are remembered: longer than anybody who asks
	// what changed can have been away without asking for the whole table.
	keepDeleted = time.Minute
)

// NewBoard returns a board without tables.
func NewBoard(clock ident.Clock) *Board {
	return &Board{clock: clock, tables: map[table.Name]*replica{}, moved: make(chan struct{})}
}

// Follow adds a table; changed is called in order with all rows after each change, and
// must not call the board.
func (b *Board) Follow(name table.Name, changed func([]table.Row)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables[name] = &replica{
		rows: map[table.Key]table.Row{}, deleted: map[table.Key]deletion{}, lapsed: map[table.Key]lapse{}, changed: changed,
	}
}

// Version returns how far a table's copy goes, and whether there is one.
func (b *Board) Version(name table.Name) (table.Version, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	return r.version, r.known
}

// Age is how long ago the store confirmed that a table's copy is its latest.
func (b *Board) Age(name table.Name) (age time.Duration, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	return b.clock().Sub(r.confirmed), r.known
}

// Take takes in a page that follows on a version of the copy, or a whole one. It
// refuses what is older than the copy or leaves a gap.
func (b *Board) Take(name table.Name, after table.Version, page table.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	if r == nil || (r.known && page.Version < r.version) || (!page.Whole && (!r.known || after > r.version)) {
		return false
	}
	now := b.clock()
	r.confirm(now.Add(-page.Age))
	changed := !r.known
	if page.Whole {
		changed = r.replace(now, page) || changed
	} else {
		changed = r.apply(now, page) || changed
	}
	r.known = true
	r.version = page.Version
	b.tell(r, changed)
	return true
}

// Sweep drops lapsed rows whose time is over and forgets old deletions.
func (b *Board) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for _, r := range b.tables {
		b.tell(r, r.sweep(now))
	}
}

// Since returns what changed in a table after a version, or all of it to those who have
// no copy or one that is too old; known is false while there is nothing to tell.
func (b *Board) Since(name table.Name, after table.Version, have bool) (page table.Page, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	if r == nil || !r.known {
		return table.Page{}, false
	}
	page = table.Page{Version: r.version, Whole: !have || after < r.floor, Age: b.clock().Sub(r.confirmed)}
	for _, row := range r.rows {
		if page.Whole || row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	if page.Whole {
		return page, true
	}
	for key, d := range r.deleted {
		if d.version > after {
			page.Rows = append(page.Rows, table.Row{Table: name, Key: key, Version: d.version, Deleted: true})
		}
	}
	return page, true
}

// Wait waits until rows change after some versions, for at most a while.
func (b *Board) Wait(ctx context.Context, after map[table.Name]table.Version, wait time.Duration) {
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

// news reports whether a table has changed rows after a version, and what is closed
// when that may change.
func (b *Board) news(after map[table.Name]table.Version) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, version := range after {
		if r := b.tables[name]; r != nil && r.known && r.newest() > version {
			return nil, true
		}
	}
	return b.moved, false
}

func (b *Board) tell(r *replica, changed bool) {
	if !changed {
		return
	}
	close(b.moved)
	b.moved = make(chan struct{})
	if r.changed == nil {
		return
	}
	rows := slices.Collect(maps.Values(r.rows))
	for _, l := range r.lapsed {
		rows = append(rows, l.row)
	}
	slices.SortFunc(rows, func(a, c table.Row) int {
		if a.Key < c.Key {
			return -1
		}
		return 1
	})
	r.changed(rows)
}

// newest is the version of the latest change of a row.
func (r *replica) newest() table.Version {
	latest := table.Version(0)
	for _, row := range r.rows {
		latest = max(latest, row.Version)
	}
	for _, d := range r.deleted {
		latest = max(latest, d.version)
	}
	return latest
}

// confirm notes when the store said that there is nothing later.
func (r *replica) confirm(at time.Time) {
	if r.known && at.Sub(r.confirmed) >= outage {
		r.regained = at
	}
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

func (r *replica) replace(now time.Time, page table.Page) bool {
	fresh := make(map[table.Key]bool, len(page.Rows))
	changed := false
	for _, row := range page.Rows {
		fresh[row.Key] = true
		changed = r.put(row) || changed
	}
	for key := range r.rows {
		if !fresh[key] {
			r.remove(now, key, page.Version)
			changed = true
		}
	}
	if !r.known {
		r.floor = page.Version
	}
	return changed
}

func (r *replica) apply(now time.Time, page table.Page) bool {
	changed := false
	for _, row := range page.Rows {
		if !row.Deleted {
			changed = r.put(row) || changed
			continue
		}
		if known, ok := r.rows[row.Key]; ok && known.Version < row.Version {
			r.remove(now, row.Key, row.Version)
			changed = true
		}
	}
	return changed
}

func (r *replica) put(row table.Row) bool {
	if known, ok := r.rows[row.Key]; ok && known.Version >= row.Version {
		return false
	}
	if gone, ok := r.deleted[row.Key]; ok && gone.version >= row.Version {
		return false
	}
	delete(r.deleted, row.Key)
	delete(r.lapsed, row.Key)
	r.rows[row.Key] = row
	return true
}

// remove takes a row out; it still counts for a while if it may have gone only because
// the store was away.
func (r *replica) remove(now time.Time, key table.Key, version table.Version) {
	if until := r.regained.Add(LapseGrace); !r.regained.IsZero() && now.Before(until) {
		r.lapsed[key] = lapse{row: r.rows[key], until: until}
	}
	delete(r.rows, key)
	r.deleted[key] = deletion{version: version, at: now}
}

func (r *replica) sweep(now time.Time) (changed bool) {
	for key, l := range r.lapsed {
		if !now.Before(l.until) {
			delete(r.lapsed, key)
			changed = true
		}
	}
	for key, d := range r.deleted {
		if now.Sub(d.at) > keepDeleted {
			delete(r.deleted, key)
			r.floor = max(r.floor, d.version)
		}
	}
	return changed
}
