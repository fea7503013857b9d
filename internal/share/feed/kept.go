package feed

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/table"
)

// kept is a row that counts in place of what the store shows, or, if it is deleted, that none counts.
type kept struct {
	row table.Row
	// until is when the store's word counts again; zero is once it shows no lower rank.
	until time.Time
}

// keep decides what counts under a key once the store shows a row.
//
// A store that is back from an older copy shows states that this copy knows to be superseded: of a target
// that has said since that it leaves, of one whose row went, of a configuration that was replaced. What is
// known to be later stays until somebody writes the row again, or those who should have had their time.
func (r *replica) keep(now time.Time, row table.Row, restored bool) {
	known, counted := r.counts(row.Key)
	before, instead := r.kept[row.Key]
	delete(r.kept, row.Key)
	gone, went := r.deleted[row.Key]
	switch {
	case (restored || instead) && counted && r.rankOf(known) > r.rankOf(row):
		r.kept[row.Key] = kept{row: known}
	case !restored || counted && bytes.Equal(known.Value, row.Value) || !r.past.has(row):
		// The store's word counts.
	case counted:
		r.kept[row.Key] = kept{row: known, until: now.Add(LapseGrace)}
	case went:
		r.kept[row.Key] = kept{row: table.Row{Key: row.Key, Deleted: true}, until: gone.when.Add(keepDeleted)}
	case instead:
		r.kept[row.Key] = before
	}
}

// rankOf is a row's rank, zero for none.
func (r *replica) rankOf(row table.Row) uint64 {
	if r.rules.Rank == nil {
		return 0
	}
	return r.rules.Rank(row)
}

// highest is the highest rank of some rows.
func (r *replica) highest(rows []table.Row) uint64 {
	rank := uint64(0)
	for _, row := range rows {
		rank = max(rank, r.rankOf(row))
	}
	return rank
}

// outrank takes in a row that another router has, whatever its era, if it ranks above what counts here.
func (r *replica) outrank(row table.Row) bool {
	if known, counted := r.counts(row.Key); counted && r.rankOf(known) >= r.rankOf(row) || r.rankOf(row) == 0 {
		return false
	}
	r.kept[row.Key] = kept{row: row}
	return r.touch(row.Key, true)
}

// past holds the states that rows had lately, by key.
type past map[table.Key][]state

// state is one of them. A version and a value together are taken for one writing of a row.
type state struct {
	version table.Version
	value   uint64
	when    time.Time
}

// mostStates bounds how many are held of a row.
const mostStates = 16

// note remembers a row's state that has been superseded.
func (p past) note(now time.Time, row table.Row) {
	states := append(p[row.Key], state{version: row.Version, value: xxhash.Sum64(row.Value), when: now})
	p[row.Key] = states[max(len(states)-mostStates, 0):]
}

// has reports whether a row is in a state that has been superseded.
func (p past) has(row table.Row) bool {
	for _, s := range p[row.Key] {
		if s.version == row.Version && s.value == xxhash.Sum64(row.Value) {
			return true
		}
	}
	return false
}

// sweep forgets states that no copy of the store can be as old as.
func (p past) sweep(now time.Time) {
	for key, states := range p {
		for len(states) > 0 && now.Sub(states[0].when) > keepDeleted {
			states = states[1:]
		}
		if len(states) == 0 {
			delete(p, key)
			continue
		}
		p[key] = states
	}
}
