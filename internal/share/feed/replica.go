package feed

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/table"
)

// Rules configures the replication of a table.
type Rules struct {
	// Rank orders the states of a row that must never go back to a lower rank; it returns zero for
	// other rows, and is nil for tables without ranked rows. A ranked row stays effective while a
	// restored store has a row of lower rank or none.
	Rank func(table.Row) uint64
	// NotifyRewrites is set if a row that is rewritten with the same value counts as a change.
	NotifyRewrites bool
	// MissingRowTTL is how long a row stays effective that is missing from the older snapshot that the
	// store was restored from.
	MissingRowTTL time.Duration
}

// replica is the replica of one table.
type replica struct {
	rules Rules
	// rows contains the latest rows read from the store.
	rows map[table.Key]table.Row
	// override contains rows that are effective in place of the store's.
	override map[table.Key]override
	// history contains superseded states of rows.
	history history
	// deleted contains the tombstones of removed rows, for peers that request changes.
	deleted map[table.Key]tombstone
	// deltaFloor is the oldest position from which all changes are available.
	deltaFloor table.Position
	// changeLog contains the latest changes, for peers that lag only a little behind.
	changeLog changeLog
	// position is the position of the replica; it is only valid once loaded is set.
	position table.Position
	loaded   bool
	// lastChange is the position of the latest change of a row. It is stored because every peer that
	// waits for updates compares it at each change.
	lastChange table.Position
	// maxRowRank is the highest rank of an effective row.
	maxRowRank uint64
	// confirmedAt is when the store last confirmed that the replica is current.
	confirmedAt time.Time
	// recoveredAt is when the store first responded after an outage, or with a later era.
	recoveredAt time.Time
	// changedKeys contains the keys whose effective row has changed since the latest call of
	// changed.
	changedKeys map[table.Key]bool
	// changed is called after each change of effective rows; it may be nil.
	changed func(Change)
}

// newReplica returns a replica that has not been loaded.
func newReplica(rules Rules, changed func(Change)) *replica {
	return &replica{
		rules: rules, rows: map[table.Key]table.Row{}, override: map[table.Key]override{}, history: history{},
		deleted: map[table.Key]tombstone{}, changedKeys: map[table.Key]bool{}, changed: changed,
	}
}

// markChanged records a change of the effective row under a key if changed is set, and returns
// changed.
func (r *replica) markChanged(key table.Key, changed bool) bool {
	if changed {
		r.changedKeys[key] = true
	}
	return changed
}

// change returns the changes since its latest call.
func (r *replica) change() Change {
	change := Change{At: r.position, source: r}
	for key := range r.changedKeys {
		if row, effective := r.effective(key); effective {
			change.Rows = append(change.Rows, row)
		} else {
			change.Removed = append(change.Removed, key)
		}
	}
	clear(r.changedKeys)
	slices.SortFunc(change.Rows, byKey)
	slices.Sort(change.Removed)
	return change
}

// byKey compares rows by key.
func byKey(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) }

// tombstone records when and at which position a row was removed.
type tombstone struct {
	position  table.Position
	removedAt time.Time
}

const (
	// RemovalGracePeriod is how long after the store's recovery a row stays effective that was removed
	// in the meantime. The platform makes live targets rewrite their rows within about two seconds.
	RemovalGracePeriod = 2200 * time.Millisecond
	// minOutage is the shortest time without a response of the store that may have caused rows to be
	// removed: a target's row is removed after three missed heartbeats of about a second.
	minOutage = 2500 * time.Millisecond
	// tombstoneTTL is how long tombstones and superseded states are kept. It is longer than any peer
	// that requests changes can have been away without requesting a full snapshot, and than the age
	// of the snapshots that the store may be restored from.
	tombstoneTTL = time.Minute
)

// accepts reports whether a page can be applied: it is not older than the replica, and it is a full
// snapshot or a delta without a gap after a position of the replica. A delta of a later era is not
// accepted, as it lacks the writes between the restored snapshot and its start.
func (r *replica) accepts(after table.Position, page table.Page) bool {
	switch {
	case !r.loaded:
		return page.Full
	case page.At.Before(r.position):
		return false
	case page.Full:
		return true
	}
	return after.Era == r.position.Era && page.At.Era == r.position.Era && !r.position.Before(after)
}

// effectiveRows returns the effective rows, sorted by key.
func (r *replica) effectiveRows() []table.Row {
	rows := make([]table.Row, 0, len(r.rows))
	for key, row := range r.rows {
		if _, overridden := r.override[key]; !overridden {
			rows = append(rows, row)
		}
	}
	for _, o := range r.override {
		if !o.row.Deleted {
			rows = append(rows, o.row)
		}
	}
	slices.SortFunc(rows, byKey)
	return rows
}

// effective returns the effective row under a key, and whether there is one.
func (r *replica) effective(key table.Key) (table.Row, bool) {
	if o, overridden := r.override[key]; overridden {
		return o.row, !o.row.Deleted
	}
	row, exists := r.rows[key]
	return row, exists
}

// confirm records when the store confirmed that the replica is current.
func (r *replica) confirm(at time.Time) {
	if r.loaded && at.Sub(r.confirmedAt) >= minOutage {
		r.recoveredAt = at
	}
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// applyPage applies a page, and reports whether effective rows changed.
func (r *replica) applyPage(now time.Time, page table.Page) bool {
	changed := !r.loaded
	if page.Full {
		changed = r.applyFull(now, page) || changed
		r.changeLog.reset()
	} else {
		changed = r.applyDelta(now, page) || changed
		r.changeLog.commit(r.position, page.At)
	}
	r.loaded = true
	r.position = page.At
	return changed
}

// applyFull replaces the rows by a full snapshot, and reports whether effective rows changed.
func (r *replica) applyFull(now time.Time, page table.Page) bool {
	restored := r.loaded && page.At.Era > r.position.Era
	if restored {
		r.recoveredAt = now
	}
	fresh := make(map[table.Key]bool, len(page.Rows))
	changed := false
	for _, row := range page.Rows {
		fresh[row.Key] = true
		changed = r.put(now, row, restored) || changed
	}
	expires := r.graceEnd()
	if restored {
		expires = now.Add(r.rules.MissingRowTTL)
	}
	for key := range r.rows {
		if !fresh[key] {
			changed = r.remove(now, key, page.At, expires) || changed
		}
	}
	// Rows may have been added and removed since the replica's earlier position.
	r.deltaFloor = page.At
	if restored {
		// All rows are updates for peers that are in an earlier era.
		r.lastChange = page.At
	}
	return changed
}

// applyDelta applies row changes, and reports whether effective rows changed.
func (r *replica) applyDelta(now time.Time, page table.Page) bool {
	changed := false
	for _, row := range page.Rows {
		if !row.Deleted {
			changed = r.put(now, row, false) || changed
			continue
		}
		if r.isNewDeletion(row) {
			changed = r.remove(now, row.Key, row.Position(), r.graceEnd()) || changed
		}
	}
	return changed
}

// isNewDeletion reports whether a deletion changes the replica: it removes a row that the replica
// has, or one that is only effective because of an override.
func (r *replica) isNewDeletion(deleted table.Row) bool {
	if current, exists := r.rows[deleted.Key]; exists {
		return current.Position().Before(deleted.Position())
	}
	_, overridden := r.override[deleted.Key]
	return overridden && r.deleted[deleted.Key].position.Before(deleted.Position())
}

// put stores a row unless the replica has the same or a later state of it, and reports whether the
// effective row changed. The parameter restored is set if the row was read from a store that has
// just been restored from an older snapshot.
func (r *replica) put(now time.Time, row table.Row, restored bool) bool {
	current, exists := r.rows[row.Key]
	if exists && !current.Position().Before(row.Position()) {
		return false
	}
	removed, wasRemoved := r.deleted[row.Key]
	if wasRemoved && !removed.position.Before(row.Position()) {
		return false
	}
	before, wasEffective := r.effective(row.Key)
	r.updateOverride(now, row, restored)
	if exists {
		r.history.add(now, current)
	}
	delete(r.deleted, row.Key)
	r.rows[row.Key] = row
	r.changeLog.add(row.Key)
	r.lastChange = later(r.lastChange, row.Position())
	after, effective := r.effective(row.Key)
	rewritten := r.rules.NotifyRewrites && before.Position() != after.Position()
	return r.markChanged(row.Key, wasEffective != effective || rewritten || !bytes.Equal(before.Value, after.Value))
}

// remove removes a row, and reports whether the effective row changed. The row stays effective until
// expires if that is in the future.
func (r *replica) remove(now time.Time, key table.Key, position table.Position, expires time.Time) bool {
	row, present := r.effective(key)
	o, overridden := r.override[key]
	if current, exists := r.rows[key]; exists {
		r.history.add(now, current)
	}
	delete(r.rows, key)
	r.deleted[key] = tombstone{position: position, removedAt: now}
	r.changeLog.add(key)
	r.lastChange = later(r.lastChange, position)
	switch {
	case present && (overridden && o.expires.IsZero() || r.rankOf(row) > 0):
		r.override[key] = override{row: row}
		return false
	case present && now.Before(expires):
		r.override[key] = override{row: row, expires: expires}
		return false
	}
	delete(r.override, key)
	return r.markChanged(key, present)
}

// graceEnd returns until when a row that is removed now stays effective, as it may have been removed
// only because of a store outage.
func (r *replica) graceEnd() time.Time {
	if r.recoveredAt.IsZero() {
		return time.Time{}
	}
	return r.recoveredAt.Add(RemovalGracePeriod)
}

// later returns the later of two positions.
func later(a, b table.Position) table.Position {
	if a.Before(b) {
		return b
	}
	return a
}

// expire removes expired overrides and tombstones, and reports whether effective rows changed.
func (r *replica) expire(now time.Time) (changed bool) {
	maps.DeleteFunc(r.override, func(key table.Key, o override) bool {
		expired := !o.expires.IsZero() && !now.Before(o.expires)
		changed = r.markChanged(key, expired) || changed
		return expired
	})
	for key, d := range r.deleted {
		if now.Sub(d.removedAt) > tombstoneTTL {
			delete(r.deleted, key)
			r.deltaFloor = later(r.deltaFloor, d.position)
		}
	}
	r.history.expire(now)
	return changed
}
