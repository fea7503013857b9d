package feed

import (
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
}

// replica is the copy of one table.
type replica struct {
	rows    map[table.Key]table.Row
	version table.Version
	known   bool
	// confirmed is when the store last said that there is nothing later.
	confirmed time.Time
	// lost is when the store stopped answering, regained when it answered again; zero
	// while it has answered all along.
	lost     time.Time
	regained time.Time
	// lapsed are rows that went during an outage, until when they are believed.
	lapsed  map[table.Key]time.Time
	changed func([]table.Row)
}

// LapseGrace is how long after the store's return a row that went meanwhile still
// counts. The platform has live targets write theirs again within about two seconds.
const LapseGrace = 2200 * time.Millisecond

// lapseOutage is the shortest outage after which rows can have gone because of it: a
// target's row goes after three missed heartbeats of about a second.
const lapseOutage = 2 * time.Second

// NewBoard returns a board without tables.
func NewBoard(clock ident.Clock) *Board {
	return &Board{clock: clock, tables: map[table.Name]*replica{}}
}

// Follow adds a table; changed is called in order with all rows after each change, and
// must not call the board.
func (b *Board) Follow(name table.Name, changed func([]table.Row)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables[name] = &replica{
		rows: map[table.Key]table.Row{}, lapsed: map[table.Key]time.Time{}, changed: changed,
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
func (b *Board) Age(name table.Name) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	return b.clock().Sub(r.confirmed), r.known
}

// Replace takes in the whole of a table; one that is older than the copy is refused.
func (b *Board) Replace(name table.Name, page table.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	if r.known && page.Version < r.version {
		return false
	}
	now := b.clock()
	r.confirm(now)
	fresh := make(map[table.Key]table.Row, len(page.Rows))
	for _, row := range page.Rows {
		fresh[row.Key] = row
	}
	changed := !r.known
	for key := range r.rows {
		if _, ok := fresh[key]; !ok {
			changed = r.remove(now, key) || changed
		}
	}
	for _, row := range page.Rows {
		changed = r.put(row) || changed
	}
	r.known = true
	r.version = page.Version
	b.tell(r, changed)
	return true
}

// Apply takes in the changes that follow on a version. It refuses those that leave a gap.
func (b *Board) Apply(name table.Name, after table.Version, page table.Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	if !r.known || after > r.version || page.Version < r.version {
		return false
	}
	now := b.clock()
	r.confirm(now)
	changed := false
	for _, row := range page.Rows {
		if row.Deleted {
			if known, ok := r.rows[row.Key]; ok && known.Version < row.Version {
				changed = r.remove(now, row.Key) || changed
			}
			continue
		}
		changed = r.put(row) || changed
	}
	r.version = page.Version
	b.tell(r, changed)
	return true
}

// Lost notes that the store does not answer for a table and reports whether that is news.
func (b *Board) Lost(name table.Name) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	if !r.lost.IsZero() {
		return false
	}
	r.lost = b.clock()
	return true
}

// Sweep drops the lapsed rows of a table whose time is over.
func (b *Board) Sweep(name table.Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.tables[name]
	now := b.clock()
	changed := false
	for key, until := range r.lapsed {
		if now.Before(until) {
			continue
		}
		delete(r.lapsed, key)
		delete(r.rows, key)
		changed = true
	}
	b.tell(r, changed)
}

func (b *Board) tell(r *replica, changed bool) {
	if !changed || r.changed == nil {
		return
	}
	rows := slices.SortedFunc(maps.Values(r.rows), func(a, c table.Row) int {
		if a.Key < c.Key {
			return -1
		}
		return 1
	})
	r.changed(rows)
}

// confirm notes that the store answered.
func (r *replica) confirm(now time.Time) {
	r.confirmed = now
	if r.lost.IsZero() {
		return
	}
	if now.Sub(r.lost) >= lapseOutage {
		r.regained = now
	}
	r.lost = time.Time{}
}

func (r *replica) put(row table.Row) bool {
	known, ok := r.rows[row.Key]
	_, lapsed := r.lapsed[row.Key]
	if ok && !lapsed && known.Version >= row.Version {
		return false
	}
	delete(r.lapsed, row.Key)
	r.rows[row.Key] = row
	return true
}

// remove takes a row out, later if it may have gone only because the store was away.
func (r *replica) remove(now time.Time, key table.Key) bool {
	if _, lapsed := r.lapsed[key]; lapsed {
		return false
	}
	if until := r.regained.Add(LapseGrace); !r.regained.IsZero() && now.Before(until) {
		r.lapsed[key] = until
		return false
	}
	delete(r.rows, key)
	return true
}
