package feed

import (
	"maps"
	"slices"

	"valescale/internal/plat/table"
)

// since returns the changes since the state of a peer's replica. A peer in a later era gets only
// ranked rows.
func (r *replica) since(have State) table.Page {
	page := table.Page{At: r.position, Kept: r.overridesAbove(have.Rank)}
	if have.Known && r.position.Era < have.At.Era {
		page.Kept = append(page.Kept, r.rowsAbove(have.Rank)...)
		return page
	}
	page.Full = !have.Known || have.At.Before(r.deltaFloor)
	if page.Full {
		page.Rows = slices.AppendSeq(make([]table.Row, 0, len(r.rows)), maps.Values(r.rows))
		return page
	}
	if keys, complete := r.changeLog.since(have.At); complete {
		page.Rows = r.filterChanged(have, keys)
		return page
	}
	page.Rows = r.scanSince(have)
	return page
}

// overridesAbove returns the rows above a rank that are effective in place of the store's.
func (r *replica) overridesAbove(rank uint64) []table.Row {
	var out []table.Row
	for _, o := range r.override {
		if !o.row.Deleted && r.rankOf(o.row) > rank {
			out = append(out, o.row)
		}
	}
	return out
}

// rowsAbove returns the store's rows above a rank.
func (r *replica) rowsAbove(rank uint64) []table.Row {
	var out []table.Row
	for _, row := range r.rows {
		if r.rankOf(row) > rank {
			out = append(out, row)
		}
	}
	return out
}

// scanSince returns the rows and tombstones later than a state by scanning the whole table.
func (r *replica) scanSince(have State) []table.Row {
	var out []table.Row
	for _, row := range r.rows {
		if have.At.Before(row.Position()) {
			out = append(out, row)
		}
	}
	for key, d := range r.deleted {
		if have.At.Before(d.position) {
			out = append(out, d.row(have.Table, key))
		}
	}
	return out
}

// filterChanged returns the rows and tombstones of some keys that are later than a state.
func (r *replica) filterChanged(have State, keys []table.Key) []table.Row {
	var out []table.Row
	for _, key := range keys {
		if row, exists := r.rows[key]; exists && have.At.Before(row.Position()) {
			out = append(out, row)
		}
		if d, removed := r.deleted[key]; removed && have.At.Before(d.position) {
			out = append(out, d.row(have.Table, key))
		}
	}
	return out
}

// row returns the tombstone as a deleted row.
func (d tombstone) row(name table.Name, key table.Key) table.Row {
	return table.Row{Table: name, Key: key, Era: d.position.Era, Version: d.position.Version, Deleted: true}
}
