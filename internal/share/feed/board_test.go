package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"valescale/internal/fake/asleep"
	"valescale/internal/plat/table"
)

const name table.Name = "targets"

// board returns a board with one table, a clock to move and the keys told of last.
func board() (*Board, *time.Time, *[]table.Key) {
	now := time.Unix(1000, 0)
	keys := &[]table.Key{}
	b := NewBoard(log.NewNopLogger(), func() time.Time { return now })
	b.Follow(name, Rules{LostFor: LapseGrace}, func(change Change) {
		*keys = nil
		for _, r := range change.All() {
			*keys = append(*keys, r.Key)
		}
	})
	return b, &now, keys
}

func row(key table.Key, version table.Version) table.Row {
	return table.Row{Table: name, Key: key, Version: version}
}

// at is a position in a past that the store has not left.
func at(version table.Version) table.Position { return table.Position{Version: version} }

func gone(key table.Key, version table.Version) table.Row {
	return table.Row{Table: name, Key: key, Version: version, Deleted: true}
}

func whole(version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: at(version), Rows: rows, Whole: true}
}

func changes(version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: at(version), Rows: rows}
}

func TestBoardNeverGoesBack(t *testing.T) {
	b, _, keys := board()
	b.Take(name, at(0), whole(5, row("a", 3), row("b", 5)))
	if b.Take(name, at(0), whole(4, row("a", 3))) {
		t.Error("an older state is taken in")
	}
	if b.Take(name, at(4), changes(4, gone("b", 4))) {
		t.Error("older changes are taken in")
	}
	if b.Take(name, at(7), changes(8, row("c", 8))) {
		t.Error("changes that leave a gap are taken in")
	}
	if !b.Take(name, at(4), changes(6, row("b", 5), row("c", 6))) {
		t.Error("changes that overlap are refused")
	}
	if diff := cmp.Diff([]table.Key{"a", "b", "c"}, *keys); diff != "" {
		t.Error(diff)
	}
}

func TestRowsLapseOnlyAfterAnOutage(t *testing.T) {
	b, now, keys := board()
	b.Take(name, at(0), whole(5, row("a", 3), row("b", 5), row("c", 5)))
	*now = now.Add(time.Second)
	b.Take(name, at(5), changes(6, gone("a", 6)))
	if diff := cmp.Diff([]table.Key{"b", "c"}, *keys); diff != "" {
		t.Errorf("without an outage: %s", diff)
	}
	*now = now.Add(10 * time.Second)
	b.Take(name, at(6), changes(8, gone("b", 7), gone("c", 8)))
	b.Take(name, at(8), changes(9, row("c", 9)))
	*now = now.Add(LapseGrace - time.Millisecond)
	b.Sweep()
	if diff := cmp.Diff([]table.Key{"b", "c"}, *keys); diff != "" {
		t.Errorf("within the grace: %s", diff)
	}
	*now = now.Add(2 * time.Millisecond)
	b.Sweep()
	if diff := cmp.Diff([]table.Key{"c"}, *keys); diff != "" {
		t.Errorf("after the grace: %s", diff)
	}
}

// A copy that follows another through pages sees the same rows.
func TestCopyOfACopy(t *testing.T) {
	b, now, _ := board()
	c, _, keys := board()
	pass := func() {
		have, known := c.Position(name)
		page, ok := b.Since(State{Table: name, Known: known, At: have})
		if ok {
			c.Take(name, have, page)
		}
	}
	pass()
	b.Take(name, at(0), whole(5, row("a", 3), row("b", 5)))
	pass()
	b.Take(name, at(5), changes(7, gone("a", 6), row("d", 7)))
	pass()
	if diff := cmp.Diff([]table.Key{"b", "d"}, *keys); diff != "" {
		t.Error(diff)
	}
	b.Take(name, at(7), changes(8, gone("b", 8)))
	*now = now.Add(2 * keepDeleted)
	b.Sweep()
	pass()
	if diff := cmp.Diff([]table.Key{"d"}, *keys); diff != "" {
		t.Errorf("after the deletion was forgotten: %s", diff)
	}
}

func TestAgeGoesThroughCopies(t *testing.T) {
	b, now, _ := board()
	b.Take(name, at(0), whole(5))
	*now = now.Add(700 * time.Millisecond)
	page, _ := b.Since(State{Table: name, Known: false, At: at(0)})
	if diff := cmp.Diff(700*time.Millisecond, page.Age); diff != "" {
		t.Error(diff)
	}
}

// A copy that was ahead of one that was read whole anew hears of rows that came and went
// meanwhile.
func TestCopyOfACopyThatWasReadWhole(t *testing.T) {
	b, _, _ := board()
	c, _, keys := board()
	b.Take(name, at(0), whole(5, row("a", 3)))
	c.Take(name, at(0), whole(7, row("a", 3), row("b", 7)))
	b.Take(name, at(0), whole(9, row("a", 3)))
	page, _ := b.Since(State{Table: name, Known: true, At: at(7)})
	c.Take(name, at(7), page)
	if diff := cmp.Diff([]table.Key{"a"}, *keys); diff != "" {
		t.Error(diff)
	}
}

// A router that was suspended does not take its copies for fresh when it wakes, nor does it tell others
// that they are: its steady clock stood still while configurations changed, and it would answer for a
// route added meanwhile that there is none.
func TestSuspendedRouterKnowsThatItsCopiesAreOld(t *testing.T) {
	now := time.Now()
	b := NewBoard(log.NewNopLogger(), func() time.Time { return now })
	b.Follow(name, Rules{LostFor: LapseGrace}, func(Change) {})
	b.Take(name, at(0), whole(5, row("a", 3)))
	now = asleep.For(now, 4)
	age, _ := b.Age(name)
	page, _ := b.Since(State{Table: name, Known: true, At: at(5)})
	if diff := cmp.Diff([]time.Duration{4 * time.Second, 4 * time.Second}, []time.Duration{age, page.Age}); diff != "" {
		t.Error(diff)
	}
}

// Seen: a router before 10,000 targets of which 400 a second came spent 4 s of a core in its first 26 s, most of
// it on lists of all rows, made for each handful of new ones. Whoever follows a table is told what changed alone.
func TestFollowersAreToldWhatChanged(t *testing.T) {
	const rows = 1000
	b, _, _ := board()
	var told Change
	b.Follow(name, Rules{LostFor: LapseGrace}, func(change Change) { told = change })
	var all []table.Row
	for i := range rows {
		all = append(all, row(table.Key(strconv.Itoa(i)), table.Version(i+1)))
	}
	b.Take(name, at(0), whole(rows, all...))
	if len(told.Rows) != rows {
		t.Errorf("told of %d rows of the first copy, want %d", len(told.Rows), rows)
	}
	changed := row("7", rows+1)
	changed.Value = []byte("other")
	b.Take(name, at(rows), changes(rows+2, changed, gone("8", rows+2)))
	want := Change{Rows: []table.Row{changed}, Gone: []table.Key{"8"}, At: at(rows + 2)}
	if diff := cmp.Diff(want, told, cmpopts.IgnoreUnexported(Change{})); diff != "" {
		t.Error(diff)
	}
}
