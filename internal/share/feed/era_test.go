package feed

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/table"
)

// in is a position in some era.
func in(era table.Era, version table.Version) table.Position {
	return table.Position{Era: era, Version: version}
}

// written is a row with a value as it is read in some era.
func written(era table.Era, key table.Key, version table.Version, value string) table.Row {
	return table.Row{Table: name, Key: key, Era: era, Version: version, Value: []byte(value)}
}

// wholeIn is a whole page of some era, changesIn one of changes.
func wholeIn(era table.Era, version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: in(era, version), Rows: rows, Whole: true}
}

func changesIn(era table.Era, version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: in(era, version), Rows: rows}
}

// counted is a board with one table and what it tells of the rows that count, as key and value.
type counted struct {
	*Board
	now  time.Time
	rows map[table.Key]string
	// told is how often it told of them.
	told int
}

func newCounted(t *testing.T) *counted {
	t.Helper()
	c := &counted{now: time.Unix(1000, 0)}
	c.Board, _, _ = board()
	c.clock = func() time.Time { return c.now }
	c.Follow(name, Rules{LostFor: LapseGrace}, func(change Change) {
		c.told++
		if c.rows == nil {
			c.rows = map[table.Key]string{}
		}
		for _, r := range change.Rows {
			c.rows[r.Key] = string(r.Value)
		}
		for _, key := range change.Gone {
			delete(c.rows, key)
		}
		all := map[table.Key]string{}
		for _, r := range change.All() {
			all[r.Key] = string(r.Value)
		}
		if diff := cmp.Diff(all, c.rows); diff != "" {
			t.Errorf("what changes add up to is not what counts: %s", diff)
		}
	})
	return c
}

// want checks which rows count.
func (c *counted) want(t *testing.T, when string, rows map[table.Key]string) {
	t.Helper()
	if diff := cmp.Diff(rows, c.rows); diff != "" {
		t.Errorf("%s: %s", when, diff)
	}
}

// pass has time go by.
func (c *counted) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.Sweep()
}

// Seen: on a site of eight routers a key that had been taken away served requests for 2 s and more, and
// a target that had said that it leaves got requests for as long. All routers logged 1,200 times that the
// store answers with an older state.
//
// How: the store was away for two seconds and came back from a copy some seconds old. Its versions went
// back, from 36 to 32, and were given out again. A copy refuses what is older than it is, so that each router kept
// its own until the store had passed 36 for the second time.
//
// Cause: versions of two pasts were compared. Proof: an answer tells its era, and here a copy takes in
// what is of a later one whatever its version is.
func TestStoreThatComesBackFromAnOlderCopy(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(1, 36, written(1, "a", 30, "first"), written(1, "b", 36, "lost")))
	if !c.Take(name, in(0, 0), wholeIn(2, 33, written(2, "a", 33, "second"), written(2, "c", 32, "new"))) {
		t.Fatal("a whole reading of a later era is refused")
	}
	c.pass(LapseGrace + time.Millisecond)
	c.want(t, "after the store is back", map[table.Key]string{"a": "second", "c": "new"})
	if diff := cmp.Diff([]any{in(2, 33), true}, pair(c.Position(name))); diff != "" {
		t.Error(diff)
	}
}

// pair is two results as one value.
func pair(a, b any) []any { return []any{a, b} }

// Seen and how: as above, at the moment when the store's version reached that of the copies again. The
// reading was taken, and revision 26 in it was not put in force: its row had version 36, as the row
// of revision 19 had had in the past that was lost.
//
// Cause: rows of two pasts were told apart by version alone.
func TestVersionThatIsGivenOutAgain(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(1, 36, written(1, "a", 36, "revision 19"), written(1, "b", 30, "same")))
	c.Take(name, in(0, 0), wholeIn(2, 36, written(2, "a", 36, "revision 26"), written(2, "b", 30, "same")))
	c.want(t, "same version, another value", map[table.Key]string{"a": "revision 26", "b": "same"})
	told := c.told
	c.Take(name, in(0, 0), wholeIn(3, 36, written(3, "a", 36, "revision 26"), written(3, "b", 34, "same")))
	if c.told != told {
		t.Error("rows that say the same as before are told of as changed")
	}
	c.Take(name, in(3, 36), changesIn(3, 37, written(3, "b", 37, "later")))
	c.want(t, "changes in the new era", map[table.Key]string{"a": "revision 26", "b": "later"})
}

// Seen: nowhere yet. How: by the time that a router asks for changes, the store's counter has passed the
// router's version again, and no answer says that history is gone. Changes from there lack all that was
// written between the copy and that version.
//
// Cause: as above; nothing but the era tells that the changes are of another past.
func TestChangesOfALaterEraAreNoChangesOfThisOne(t *testing.T) {
	b, _, keys := board()
	s := &source{answers: []answer{
		{page: wholeIn(1, 36, written(1, "a", 36, ""))},
		{page: changesIn(2, 38, written(2, "d", 38, ""))},
		{page: wholeIn(2, 38, written(2, "a", 30, ""), written(2, "c", 35, ""), written(2, "d", 38, ""))},
	}}
	f := follower(b, s)
	for range 3 {
		if err := f.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]string{"all", "changes", "all"}, s.calls); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]table.Key{"a", "c", "d"}, *keys); diff != "" {
		t.Error(diff)
	}
	if b.Take(name, in(2, 38), changesIn(4, 40, written(4, "e", 40, ""))) {
		t.Error("changes of a later era are taken for changes of this one")
	}
}

// Seen: nowhere yet. How: an answer of the earlier era comes after one of the new era, over another
// connection or from another router, with a higher version.
//
// Cause: as above.
func TestLateAnswerOfAnEarlierEra(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(1, 36, written(1, "a", 36, "old")))
	c.Take(name, in(0, 0), wholeIn(2, 32, written(2, "a", 32, "new")))
	if c.Take(name, in(1, 36), changesIn(1, 40, written(1, "a", 40, "late"))) ||
		c.Take(name, in(0, 0), wholeIn(1, 41, written(1, "a", 41, "late"))) {
		t.Error("an answer of an earlier era is taken in")
	}
	c.want(t, "after it", map[table.Key]string{"a": "new"})
}

// Two routers in different eras exchange pages: the one behind gets all of the later era, the one ahead
// nothing of the earlier, whatever their versions are.
func TestRoutersInDifferentEras(t *testing.T) {
	behind, ahead := newCounted(t), newCounted(t)
	behind.Take(name, in(0, 0), wholeIn(1, 36, written(1, "a", 36, "old")))
	ahead.Take(name, in(0, 0), wholeIn(2, 32, written(2, "a", 31, "new")))
	page, _ := behind.Since(State{Table: name, Known: true, At: in(2, 32)})
	if ahead.Take(name, in(2, 32), page) || len(page.Rows) > 0 {
		t.Errorf("a router of an earlier era hands on %d rows", len(page.Rows))
	}
	if _, news := behind.news(map[table.Name]table.Position{name: in(2, 32)}); news {
		t.Error("a router of an earlier era has news for one of a later")
	}
	if _, news := ahead.news(map[table.Name]table.Position{name: in(1, 36)}); !news {
		t.Error("a router of a later era has no news for one of an earlier")
	}
	page, _ = ahead.Since(State{Table: name, Known: true, At: in(1, 36)})
	if !behind.Take(name, in(1, 36), page) {
		t.Error("what a router of a later era hands on is refused")
	}
	behind.want(t, "after the exchange", map[table.Key]string{"a": "new"})
}

// Seen: nowhere yet; the case that the next play of the same kind would have brought. How: a target said
// that it leaves, another took its row away, an operator opened an availability zone, all after the store's
// copy was made. Back from it, the store says that the one is ready, has the other's row again, and the zone's.
//
// Cause: what a copy knew to be superseded was taken for news as soon as the store showed it again.
func TestSupersededRowsComeBack(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(1, 30, written(1, "leaves", 10, "ready"), written(1, "gone", 11, "ready"), written(1, "stays", 12, "ready")))
	c.Take(name, in(1, 30), changesIn(1, 32, written(1, "leaves", 31, "leaving"), table.Row{Key: "gone", Era: 1, Version: 32, Deleted: true}))
	c.pass(time.Second)
	c.Take(name, in(0, 0), wholeIn(2, 30, written(2, "leaves", 10, "ready"), written(2, "gone", 11, "ready"), written(2, "stays", 12, "ready")))
	known := map[table.Key]string{"leaves": "leaving", "stays": "ready"}
	c.want(t, "as the store comes back", known)
	c.Take(name, in(0, 0), wholeIn(2, 30, written(2, "leaves", 10, "ready"), written(2, "gone", 11, "ready"), written(2, "stays", 12, "ready")))
	c.want(t, "after it was read whole once more", known)
	c.Take(name, in(2, 30), changesIn(2, 31, written(2, "leaves", 31, "leaving")))
	c.pass(LapseGrace + time.Millisecond)
	c.want(t, "once it has said so again", known)
	c.Take(name, in(2, 31), changesIn(2, 32, written(2, "gone", 32, "ready")))
	c.want(t, "once the other has written its row again", map[table.Key]string{"leaves": "leaving", "gone": "ready", "stays": "ready"})
}

// What nobody writes again gives way in the end: a superseded state after the time that targets take to write
// theirs again, a row that went once its deletion need not be remembered any more.
func TestSupersededRowsThatNobodyWritesAgain(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(1, 30, written(1, "a", 10, "first"), written(1, "b", 11, "first")))
	c.Take(name, in(1, 30), changesIn(1, 32, written(1, "a", 31, "second"), table.Row{Key: "b", Era: 1, Version: 32, Deleted: true}))
	c.Take(name, in(0, 0), wholeIn(2, 30, written(2, "a", 10, "first"), written(2, "b", 11, "first")))
	c.want(t, "as the store comes back", map[table.Key]string{"a": "second"})
	c.pass(LapseGrace + time.Millisecond)
	c.want(t, "after the grace", map[table.Key]string{"a": "first"})
	c.pass(keepDeleted)
	c.want(t, "after the deletion is forgotten", map[table.Key]string{"a": "first", "b": "first"})
}

// Rows that the copy lacks count until their targets have had the time to write them again, however short the
// store was away; a target that has died meanwhile never does.
func TestRowsThatTheCopyLacks(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(1, 36, written(1, "lives", 35, "ready"), written(1, "dies", 36, "ready")))
	c.pass(100 * time.Millisecond)
	c.Take(name, in(0, 0), wholeIn(2, 32))
	c.want(t, "as the store comes back", map[table.Key]string{"lives": "ready", "dies": "ready"})
	c.Take(name, in(2, 32), changesIn(2, 33, written(2, "lives", 33, "ready")))
	c.pass(LapseGrace + time.Millisecond)
	c.want(t, "after the grace", map[table.Key]string{"lives": "ready"})
}

// A row that the copy lacks and that still counts goes once the store says that it has gone.
func TestLostRowThatIsTakenAway(t *testing.T) {
	c := newCounted(t)
	c.Follow(name, Rules{LostFor: time.Hour}, c.tables[name].changed)
	c.Take(name, in(0, 0), wholeIn(1, 36, written(1, "a", 35, "closed")))
	c.Take(name, in(0, 0), wholeIn(2, 32))
	c.pass(LapseGrace + time.Millisecond)
	c.want(t, "as nobody has said anything", map[table.Key]string{"a": "closed"})
	c.Take(name, in(2, 32), changesIn(2, 34, table.Row{Key: "a", Era: 2, Version: 34, Deleted: true}))
	c.want(t, "once it is taken away", map[table.Key]string{})
}

// Two setbacks follow each other closely, the second over an era that no answer told of.
func TestSetbacksFollowEachOther(t *testing.T) {
	c := newCounted(t)
	c.Take(name, in(0, 0), wholeIn(2, 36, written(2, "a", 36, "one")))
	c.Take(name, in(0, 0), wholeIn(3, 33, written(3, "a", 33, "two")))
	c.Take(name, in(0, 0), wholeIn(5, 31, written(5, "a", 31, "three")))
	if diff := cmp.Diff([]any{in(5, 31), true}, pair(c.Position(name))); diff != "" {
		t.Error(diff)
	}
	c.pass(LapseGrace + time.Millisecond)
	c.want(t, "after both", map[table.Key]string{"a": "three"})
}

// A store whose versions go back without a word of its era is served as before: the copy stays until they
// have passed it, and the store is not asked more often for that than a lost one is.
func TestStoreThatGoesBackWithoutAnEra(t *testing.T) {
	b, _, keys := board()
	s := &source{answers: []answer{
		{page: whole(36, row("a", 36))},
		{err: fault.New("test", table.Compacted, nil)},
		{page: whole(32, row("b", 32))},
		{page: whole(33, row("b", 32))},
		{page: whole(37, row("b", 37))},
	}}
	f := follower(b, s)
	for range 5 {
		if err := f.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]table.Key{"b"}, *keys); diff != "" {
		t.Error(diff)
	}
}
