package feed

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/table"
)

// Rules are what is particular to a table.
type Rules struct {
	// Rank orders the states of a row that never goes back, zero for other rows; nil if the table has
	// none. A row stays while the store, back from an older copy, shows a lower rank or no row.
	Rank func(table.Row) uint64
	// Anew is set where a row that is written again is news although it says the same.
	Anew bool
	// LostFor is for how long a row still counts that an older copy of the store lacks.
	LostFor time.Duration
}

// replica is the copy of one table.
type replica struct {
	rules Rules
	// rows are those that the store showed last.
	rows map[table.Key]table.Row
	// kept are rows that count in place of what the store shows.
	kept map[table.Key]kept
	// past are the states that rows had before.
	past past
	// deleted are rows that went, for those who ask what changed.
	deleted map[table.Key]deletion
	// floor is the position from which on all changes are known.
	floor table.Position
	// steps are the latest changes, for those who were told of what came before them.
	steps steps
	// at is how far the copy goes; without known there is no copy yet.
	at    table.Position
	known bool
	// newest is the position of the latest change of a row; kept, because each router that
	// waits for news compares it at each change.
	newest table.Position
	// rank is the highest rank of a row that counts.
	rank uint64
	// confirmed is when the store last said that there is nothing later.
	confirmed time.Time
	// regained is when the store was first heard again after an outage, or in a later era.
	regained time.Time
	// touched are the keys under which something else counts since changed was told.
	touched map[table.Key]bool
	// changed is told of each change of rows that count; it may be nil.
	changed func(Change)
}

// newReplica returns a replica without a copy.
func newReplica(rules Rules, changed func(Change)) *replica {
	return &replica{
		rules: rules, rows: map[table.Key]table.Row{}, kept: map[table.Key]kept{}, past: past{},
		deleted: map[table.Key]deletion{}, touched: map[table.Key]bool{}, changed: changed,
	}
}

// touch notes whether something else counts under a key, and returns the same.
func (r *replica) touch(key table.Key, changed bool) bool {
	if changed {
		r.touched[key] = true
	}
	return changed
}

// change is what is new since the latest change that was told of.
func (r *replica) change() Change {
	change := Change{At: r.at, of: r}
	for key := range r.touched {
		if row, counts := r.counts(key); counts {
			change.Rows = append(change.Rows, row)
		} else {
			change.Gone = append(change.Gone, key)
		}
	}
	clear(r.touched)
	slices.SortFunc(change.Rows, byKey)
	slices.Sort(change.Gone)
	return change
}

// byKey orders rows.
func byKey(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) }

// deletion is when a row went.
type deletion struct {
	at   table.Position
	when time.Time
}

// row is the deletion as it is told.
func (d deletion) row(name table.Name, key table.Key) table.Row {
	return table.Row{Table: name, Key: key, Era: d.at.Era, Version: d.at.Version, Deleted: true}
}

const (
	// LapseGrace is how long after the store's return a row that went meanwhile still
	// counts. The platform has live targets write theirs again within about two seconds.
	LapseGrace = 2200 * time.Millisecond
	// outage is the shortest silence of the store after which rows can have gone because
	// of it: a target's row goes after three missed heartbeats of about a second.
	outage = 2500 * time.Millisecond
	// keepDeleted is how long deletions and earlier states are remembered: longer than anybody
	// who asks what changed can have been away without asking for the whole table, and than
	// the copy that the store comes back from can be old.
	keepDeleted = time.Minute
)

// follows reports whether a page can be taken in: it is no older than the copy, and it
// is whole or leaves no gap after a position of the copy. Changes of a later era are none
// of this copy's: they lack what was written between the store's older copy and their start.
func (r *replica) follows(after table.Position, page table.Page) bool {
	switch {
	case !r.known:
		return page.Whole
	case page.At.Before(r.at):
		return false
	case page.Whole:
		return true
	}
	return after.Era == r.at.Era && page.At.Era == r.at.Era && !r.at.Before(after)
}

// counting lists the rows that count, by key.
func (r *replica) counting() []table.Row {
	rows := make([]table.Row, 0, len(r.rows))
	for key, row := range r.rows {
		if _, instead := r.kept[key]; !instead {
			rows = append(rows, row)
		}
	}
	for _, k := range r.kept {
		if !k.row.Deleted {
			rows = append(rows, k.row)
		}
	}
	slices.SortFunc(rows, byKey)
	return rows
}

// counts returns the row that counts under a key, if there is one.
func (r *replica) counts(key table.Key) (table.Row, bool) {
	if k, instead := r.kept[key]; instead {
		return k.row, !k.row.Deleted
	}
	row, there := r.rows[key]
	return row, there
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

// take makes the copy follow a page, and reports whether rows that count changed.
func (r *replica) take(now time.Time, page table.Page) bool {
	changed := !r.known
	if page.Whole {
		changed = r.replace(now, page) || changed
		r.steps.forget()
	} else {
		changed = r.apply(now, page) || changed
		r.steps.end(r.at, page.At)
	}
	r.known = true
	r.at = page.At
	return changed
}

// replace makes the copy what a whole page says, and reports whether rows that count changed.
func (r *replica) replace(now time.Time, page table.Page) bool {
	restored := r.known && page.At.Era > r.at.Era
	if restored {
		r.regained = now
	}
	fresh := make(map[table.Key]bool, len(page.Rows))
	changed := false
	for _, row := range page.Rows {
		fresh[row.Key] = true
		changed = r.put(now, row, restored) || changed
	}
	until := r.lapse()
	if restored {
		until = now.Add(r.rules.LostFor)
	}
	for key := range r.rows {
		if !fresh[key] {
			changed = r.remove(now, key, page.At, until) || changed
		}
	}
	// What came and went since the copy's earlier position is not known.
	r.floor = page.At
	if restored {
		// All of the copy is news to those who are in an earlier era.
		r.newest = page.At
	}
	return changed
}

// apply takes in changes, and reports whether rows that count changed.
func (r *replica) apply(now time.Time, page table.Page) bool {
	changed := false
	for _, row := range page.Rows {
		if !row.Deleted {
			changed = r.put(now, row, false) || changed
			continue
		}
		if r.takesAway(row) {
			changed = r.remove(now, row.Key, row.Position(), r.lapse()) || changed
		}
	}
	return changed
}

// takesAway reports whether a deletion is news: of a row that the copy has, or of one that counts although the
// store did not show it any more.
func (r *replica) takesAway(deleted table.Row) bool {
	if known, there := r.rows[deleted.Key]; there {
		return known.Position().Before(deleted.Position())
	}
	_, instead := r.kept[deleted.Key]
	return instead && r.deleted[deleted.Key].at.Before(deleted.Position())
}

// put takes in a row unless the copy has it or a later state of it, and reports whether what counts
// changed. A restored row is read from a store that has just come back from an older copy.
func (r *replica) put(now time.Time, row table.Row, restored bool) bool {
	known, there := r.rows[row.Key]
	if there && !known.Position().Before(row.Position()) {
		return false
	}
	gone, went := r.deleted[row.Key]
	if went && !gone.at.Before(row.Position()) {
		return false
	}
	before, counted := r.counts(row.Key)
	r.keep(now, row, restored)
	if there {
		r.past.note(now, known)
	}
	delete(r.deleted, row.Key)
	r.rows[row.Key] = row
	r.steps.note(row.Key)
	r.newest = later(r.newest, row.Position())
	after, counts := r.counts(row.Key)
	anew := r.rules.Anew && before.Position() != after.Position()
	return r.touch(row.Key, counted != counts || anew || !bytes.Equal(before.Value, after.Value))
}

// remove takes a row out, and reports whether what counts changed. What counted goes on counting until a
// moment, if that is yet to come.
func (r *replica) remove(now time.Time, key table.Key, at table.Position, until time.Time) bool {
	row, counted := r.counts(key)
	k, instead := r.kept[key]
	if known, there := r.rows[key]; there {
		r.past.note(now, known)
	}
	delete(r.rows, key)
	r.deleted[key] = deletion{at: at, when: now}
	r.steps.note(key)
	r.newest = later(r.newest, at)
	switch {
	case counted && (instead && k.until.IsZero() || r.rankOf(row) > 0):
		r.kept[key] = kept{row: row}
		return false
	case counted && now.Before(until):
		r.kept[key] = kept{row: row, until: until}
		return false
	}
	delete(r.kept, key)
	return r.touch(key, counted)
}

// lapse is until when a row that goes now still counts, since it may have gone only because the store was
// away.
func (r *replica) lapse() time.Time {
	if r.regained.IsZero() {
		return time.Time{}
	}
	return r.regained.Add(LapseGrace)
}

// since is what changed since a state of another router's copy. Of an earlier era there is nothing to tell
// but the rows that never go back.
func (r *replica) since(have State) table.Page {
	page := table.Page{At: r.at}
	for _, k := range r.kept {
		if !k.row.Deleted && r.rankOf(k.row) > have.Rank {
			page.Kept = append(page.Kept, k.row)
		}
	}
	if have.Known && r.at.Era < have.At.Era {
		for _, row := range r.rows {
			if r.rankOf(row) > have.Rank {
				page.Kept = append(page.Kept, row)
			}
		}
		return page
	}
	page.Whole = !have.Known || have.At.Before(r.floor)
	if keys, known := r.steps.since(have.At); known && !page.Whole {
		page.Rows = r.changedAmong(have, keys)
		return page
	}
	if page.Whole {
		page.Rows = make([]table.Row, 0, len(r.rows))
		for _, row := range r.rows {
			page.Rows = append(page.Rows, row)
		}
		return page
	}
	page.Rows = r.scan(have)
	return page
}

// scan looks at all rows and deletions for those that are later than a state.
func (r *replica) scan(have State) []table.Row {
	var out []table.Row
	for _, row := range r.rows {
		if have.At.Before(row.Position()) {
			out = append(out, row)
		}
	}
	for key, d := range r.deleted {
		if have.At.Before(d.at) {
			out = append(out, d.row(have.Table, key))
		}
	}
	return out
}

// changedAmong are the rows and deletions among some keys that are later than a state.
func (r *replica) changedAmong(have State, keys []table.Key) []table.Row {
	var out []table.Row
	for _, key := range keys {
		if row, there := r.rows[key]; there && have.At.Before(row.Position()) {
			out = append(out, row)
		}
		if d, went := r.deleted[key]; went && have.At.Before(d.at) {
			out = append(out, d.row(have.Table, key))
		}
	}
	return out
}

// later returns the later of two positions.
func later(a, b table.Position) table.Position {
	if a.Before(b) {
		return b
	}
	return a
}

// sweep drops what is over and reports whether a row that counted went.
func (r *replica) sweep(now time.Time) (changed bool) {
	maps.DeleteFunc(r.kept, func(key table.Key, k kept) bool {
		over := !k.until.IsZero() && !now.Before(k.until)
		changed = r.touch(key, over) || changed
		return over
	})
	for key, d := range r.deleted {
		if now.Sub(d.when) > keepDeleted {
			delete(r.deleted, key)
			r.floor = later(r.floor, d.at)
		}
	}
	r.past.sweep(now)
	return changed
}
