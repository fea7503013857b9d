package feed

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/table"
)

// override is a row that is effective in place of the store's row. If it is a deleted row, the key
// has no effective row.
type override struct {
	row table.Row
	// expires is when the store's row becomes effective again. If it is zero, that happens once the
	// store returns a row of the same or a higher rank.
	expires time.Time
}

// updateOverride decides which row is effective under a key when the store returns a row.
//
// A store restored from an older snapshot returns states that this replica has seen superseded, for
// example of a target that has since reported that it is leaving, of a target whose row was removed,
// or of a configuration that was replaced. The later state stays effective until the row is written
// again, or until the time allowed for that has passed.
func (r *replica) updateOverride(now time.Time, row table.Row, restored bool) {
	current, present := r.effective(row.Key)
	previous, overridden := r.override[row.Key]
	delete(r.override, row.Key)
	tombstone, wasDeleted := r.deleted[row.Key]
	switch {
	case (restored || overridden) && present && r.rankOf(current) > r.rankOf(row):
		r.override[row.Key] = override{row: current}
	case !restored || present && bytes.Equal(current.Value, row.Value) || !r.history.contains(row):
		// The store's row is effective.
	case present:
		r.override[row.Key] = override{row: current, expires: now.Add(RemovalGracePeriod)}
	case wasDeleted:
		r.override[row.Key] = override{row: table.Row{Key: row.Key, Deleted: true}, expires: tombstone.removedAt.Add(tombstoneTTL)}
	case overridden:
		r.override[row.Key] = previous
	}
}

// rankOf returns a row's rank, zero if it has none.
func (r *replica) rankOf(row table.Row) uint64 {
	if r.rules.Rank == nil {
		return 0
	}
	return r.rules.Rank(row)
}

func (r *replica) maxRank(rows []table.Row) uint64 {
	rank := uint64(0)
	for _, row := range rows {
		rank = max(rank, r.rankOf(row))
	}
	return rank
}

// mergeRanked applies a row of a peer, whatever its era, if it ranks above the effective row.
func (r *replica) mergeRanked(row table.Row) bool {
	if current, present := r.effective(row.Key); present && r.rankOf(current) >= r.rankOf(row) || r.rankOf(row) == 0 {
		return false
	}
	r.override[row.Key] = override{row: row}
	return r.markChanged(row.Key, true)
}

// history holds recent superseded states of rows, by key.
type history map[table.Key][]rowState

// rowState is a superseded state of a row. Version and value together identify a write.
type rowState struct {
	version    table.Version
	valueHash  uint64
	replacedAt time.Time
}

// maxStatesPerRow limits the states kept for each row.
const maxStatesPerRow = 16

// add records a superseded state.
func (h history) add(now time.Time, row table.Row) {
	states := append(h[row.Key], rowState{version: row.Version, valueHash: xxhash.Sum64(row.Value), replacedAt: now})
	h[row.Key] = states[max(len(states)-maxStatesPerRow, 0):]
}

// contains reports whether a row's state has been superseded.
func (h history) contains(row table.Row) bool {
	for _, s := range h[row.Key] {
		if s.version == row.Version && s.valueHash == xxhash.Sum64(row.Value) {
			return true
		}
	}
	return false
}

// expire removes states that are older than any snapshot the store may be restored from.
func (h history) expire(now time.Time) {
	for key, states := range h {
		for len(states) > 0 && now.Sub(states[0].replacedAt) > tombstoneTTL {
			states = states[1:]
		}
		if len(states) == 0 {
			delete(h, key)
			continue
		}
		h[key] = states
	}
}
