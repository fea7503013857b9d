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

const tableName table.Name = "targets"

// testReplicas returns Replicas with one table, its adjustable clock, and the effective keys after
// the latest change.
func testReplicas() (*Replicas, *time.Time, *[]table.Key) {
	now := time.Unix(1000, 0)
	keys := &[]table.Key{}
	b := NewReplicas(log.NewNopLogger(), func() time.Time { return now })
	b.AddTable(tableName, Rules{MissingRowTTL: RemovalGracePeriod}, func(change Change) {
		*keys = nil
		for _, r := range change.All() {
			*keys = append(*keys, r.Key)
		}
	})
	return b, &now, keys
}

func row(key table.Key, version table.Version) table.Row {
	return table.Row{Table: tableName, Key: key, Version: version}
}

// pos returns a position in era 0.
func pos(version table.Version) table.Position { return table.Position{Version: version} }

func deletedRow(key table.Key, version table.Version) table.Row {
	return table.Row{Table: tableName, Key: key, Version: version, Deleted: true}
}

func fullPage(version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: pos(version), Rows: rows, Full: true}
}

func deltaPage(version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: pos(version), Rows: rows}
}

func TestReplicaRejectsOlderPages(t *testing.T) {
	b, _, keys := testReplicas()
	b.Apply(tableName, pos(0), fullPage(5, row("a", 3), row("b", 5)))
	if b.Apply(tableName, pos(0), fullPage(4, row("a", 3))) {
		t.Error("an older full snapshot is applied")
	}
	if b.Apply(tableName, pos(4), deltaPage(4, deletedRow("b", 4))) {
		t.Error("an older delta is applied")
	}
	if b.Apply(tableName, pos(7), deltaPage(8, row("c", 8))) {
		t.Error("a delta with a gap is applied")
	}
	if !b.Apply(tableName, pos(4), deltaPage(6, row("b", 5), row("c", 6))) {
		t.Error("an overlapping delta is rejected")
	}
	if diff := cmp.Diff([]table.Key{"a", "b", "c"}, *keys); diff != "" {
		t.Error(diff)
	}
}

func TestGracePeriodOnlyAfterOutage(t *testing.T) {
	b, now, keys := testReplicas()
	b.Apply(tableName, pos(0), fullPage(5, row("a", 3), row("b", 5), row("c", 5)))
	*now = now.Add(time.Second)
	b.Apply(tableName, pos(5), deltaPage(6, deletedRow("a", 6)))
	if diff := cmp.Diff([]table.Key{"b", "c"}, *keys); diff != "" {
		t.Errorf("without an outage: %s", diff)
	}
	*now = now.Add(10 * time.Second)
	b.Apply(tableName, pos(6), deltaPage(8, deletedRow("b", 7), deletedRow("c", 8)))
	b.Apply(tableName, pos(8), deltaPage(9, row("c", 9)))
	*now = now.Add(RemovalGracePeriod - time.Millisecond)
	b.Sweep()
	if diff := cmp.Diff([]table.Key{"b", "c"}, *keys); diff != "" {
		t.Errorf("within the grace period: %s", diff)
	}
	*now = now.Add(2 * time.Millisecond)
	b.Sweep()
	if diff := cmp.Diff([]table.Key{"c"}, *keys); diff != "" {
		t.Errorf("after the grace period: %s", diff)
	}
}

// A replica that is updated from another replica's pages has the same rows.
func TestReplicaOfReplica(t *testing.T) {
	b, now, _ := testReplicas()
	c, _, keys := testReplicas()
	sync := func() {
		have, loaded := c.Position(tableName)
		page, ok := b.Since(State{Table: tableName, Known: loaded, At: have})
		if ok {
			c.Apply(tableName, have, page)
		}
	}
	sync()
	b.Apply(tableName, pos(0), fullPage(5, row("a", 3), row("b", 5)))
	sync()
	b.Apply(tableName, pos(5), deltaPage(7, deletedRow("a", 6), row("d", 7)))
	sync()
	if diff := cmp.Diff([]table.Key{"b", "d"}, *keys); diff != "" {
		t.Error(diff)
	}
	b.Apply(tableName, pos(7), deltaPage(8, deletedRow("b", 8)))
	*now = now.Add(2 * tombstoneTTL)
	b.Sweep()
	sync()
	if diff := cmp.Diff([]table.Key{"d"}, *keys); diff != "" {
		t.Errorf("after the tombstone expired: %s", diff)
	}
}

func TestAgePropagatesThroughReplicas(t *testing.T) {
	b, now, _ := testReplicas()
	b.Apply(tableName, pos(0), fullPage(5))
	*now = now.Add(700 * time.Millisecond)
	page, _ := b.Since(State{Table: tableName, Known: false, At: pos(0)})
	if diff := cmp.Diff(700*time.Millisecond, page.Age); diff != "" {
		t.Error(diff)
	}
}

// A replica was ahead of a peer's, and the peer then read a full snapshot. Its next page must cover
// the rows that were added and removed meanwhile.
func TestReplicaOfReplicaAfterFullRead(t *testing.T) {
	b, _, _ := testReplicas()
	c, _, keys := testReplicas()
	b.Apply(tableName, pos(0), fullPage(5, row("a", 3)))
	c.Apply(tableName, pos(0), fullPage(7, row("a", 3), row("b", 7)))
	b.Apply(tableName, pos(0), fullPage(9, row("a", 3)))
	page, _ := b.Since(State{Table: tableName, Known: true, At: pos(7)})
	c.Apply(tableName, pos(7), page)
	if diff := cmp.Diff([]table.Key{"a"}, *keys); diff != "" {
		t.Error(diff)
	}
}

// A suspended router must not consider its replicas fresh after it resumes, nor report them as fresh
// to peers: the monotonic clock stops during suspension while configurations change, so the router
// would reject requests for a route added meanwhile.
func TestAgeIncludesSuspendedTime(t *testing.T) {
	now := time.Now()
	b := NewReplicas(log.NewNopLogger(), func() time.Time { return now })
	b.AddTable(tableName, Rules{MissingRowTTL: RemovalGracePeriod}, func(Change) {})
	b.Apply(tableName, pos(0), fullPage(5, row("a", 3)))
	now = asleep.For(now, 4)
	age, _ := b.Age(tableName)
	page, _ := b.Since(State{Table: tableName, Known: true, At: pos(5)})
	if diff := cmp.Diff([]time.Duration{4 * time.Second, 4 * time.Second}, []time.Duration{age, page.Age}); diff != "" {
		t.Error(diff)
	}
}

// Guards against building a list of all rows for each small change. If 400 targets a
// second are added to a table until it has 10,000, these lists use most of the 4 s of CPU time of a
// router's first 26 s. The change callback receives the changed rows only.
func TestChangeContainsOnlyChangedRows(t *testing.T) {
	const rows = 1000
	b, _, _ := testReplicas()
	var got Change
	b.AddTable(tableName, Rules{MissingRowTTL: RemovalGracePeriod}, func(change Change) { got = change })
	var all []table.Row
	for i := range rows {
		all = append(all, row(table.Key(strconv.Itoa(i)), table.Version(i+1)))
	}
	b.Apply(tableName, pos(0), fullPage(rows, all...))
	if len(got.Rows) != rows {
		t.Errorf("first change has %d rows, want %d", len(got.Rows), rows)
	}
	changed := row("7", rows+1)
	changed.Value = []byte("other")
	b.Apply(tableName, pos(rows), deltaPage(rows+2, changed, deletedRow("8", rows+2)))
	want := Change{Rows: []table.Row{changed}, Removed: []table.Key{"8"}, At: pos(rows + 2)}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Change{})); diff != "" {
		t.Error(diff)
	}
}
