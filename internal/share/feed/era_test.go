package feed

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/table"
)

// posIn returns a position in an era.
func posIn(era table.Era, version table.Version) table.Position {
	return table.Position{Era: era, Version: version}
}

// rowIn returns a row with a value as read in an era.
func rowIn(era table.Era, key table.Key, version table.Version, value string) table.Row {
	return table.Row{Table: tableName, Key: key, Era: era, Version: version, Value: []byte(value)}
}

// fullPageIn returns a full snapshot in an era, deltaPageIn a delta.
func fullPageIn(era table.Era, version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: posIn(era, version), Rows: rows, Full: true}
}

func deltaPageIn(era table.Era, version table.Version, rows ...table.Row) table.Page {
	return table.Page{At: posIn(era, version), Rows: rows}
}

// fixture contains Replicas with one table, whose effective rows are recorded as key and value.
type fixture struct {
	*Replicas
	now  time.Time
	rows map[table.Key]string
	// notifications counts the calls of the change callback.
	notifications int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	c := &fixture{now: time.Unix(1000, 0)}
	c.Replicas, _, _ = testReplicas()
	c.clock = func() time.Time { return c.now }
	c.AddTable(tableName, Rules{MissingRowTTL: RemovalGracePeriod}, func(change Change) {
		c.notifications++
		if c.rows == nil {
			c.rows = map[table.Key]string{}
		}
		for _, r := range change.Rows {
			c.rows[r.Key] = string(r.Value)
		}
		for _, key := range change.Removed {
			delete(c.rows, key)
		}
		all := map[table.Key]string{}
		for _, r := range change.All() {
			all[r.Key] = string(r.Value)
		}
		if diff := cmp.Diff(all, c.rows); diff != "" {
			t.Errorf("accumulated changes differ from the effective rows: %s", diff)
		}
	})
	return c
}

// expectRows checks the effective rows.
func (c *fixture) expectRows(t *testing.T, when string, rows map[table.Key]string) {
	t.Helper()
	if diff := cmp.Diff(rows, c.rows); diff != "" {
		t.Errorf("%s: %s", when, diff)
	}
}

// advance advances the clock and expires rows.
func (c *fixture) advance(d time.Duration) {
	c.now = c.now.Add(d)
	c.Sweep()
}

// A store is restored from an older snapshot, so that its version drops, for example from 36 to 32,
// and versions are used again. If versions of two eras are compared, a replica rejects the store's
// state as older until it has passed version 36 again: a revoked key and a leaving target then stay
// in use for 2 s and more. A full snapshot of a later era must be applied whatever its version is.
func TestStoreRestoredFromOlderSnapshot(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 30, "first"), rowIn(1, "b", 36, "lost")))
	if !c.Apply(tableName, posIn(0, 0), fullPageIn(2, 33, rowIn(2, "a", 33, "second"), rowIn(2, "c", 32, "new"))) {
		t.Fatal("a full snapshot of a later era is rejected")
	}
	c.advance(RemovalGracePeriod + time.Millisecond)
	c.expectRows(t, "after the store rollback", map[table.Key]string{"a": "second", "c": "new"})
	if diff := cmp.Diff([]any{posIn(2, 33), true}, pair(c.Position(tableName))); diff != "" {
		t.Error(diff)
	}
}

// pair returns two results as one value.
func pair(a, b any) []any { return []any{a, b} }

// After a rollback the store reaches the version of the replicas again. A row of the new era, with
// revision 26 of the configuration at version 36, must not be taken for the row with revision 19
// that had the same version before the rollback.
func TestVersionReusedInLaterEra(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 36, "revision 19"), rowIn(1, "b", 30, "same")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 36, rowIn(2, "a", 36, "revision 26"), rowIn(2, "b", 30, "same")))
	c.expectRows(t, "same version, another value", map[table.Key]string{"a": "revision 26", "b": "same"})
	notifications := c.notifications
	c.Apply(tableName, posIn(0, 0), fullPageIn(3, 36, rowIn(3, "a", 36, "revision 26"), rowIn(3, "b", 34, "same")))
	if c.notifications != notifications {
		t.Error("unchanged rows are reported as changed")
	}
	c.Apply(tableName, posIn(3, 36), deltaPageIn(3, 37, rowIn(3, "b", 37, "later")))
	c.expectRows(t, "changes in the new era", map[table.Key]string{"a": "revision 26", "b": "later"})
}

// After a rollback the store's counter may have passed the router's version again before the router
// requests changes, so that no compaction error is returned. Only the era shows that a delta from
// there lacks the writes between the replica's position and that version.
func TestDeltaOfLaterEraIsRejected(t *testing.T) {
	b, _, keys := testReplicas()
	s := &fakeSource{results: []result{
		{page: fullPageIn(1, 36, rowIn(1, "a", 36, ""))},
		{page: deltaPageIn(2, 38, rowIn(2, "d", 38, ""))},
		{page: fullPageIn(2, 38, rowIn(2, "a", 30, ""), rowIn(2, "c", 35, ""), rowIn(2, "d", 38, ""))},
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
	if b.Apply(tableName, posIn(2, 38), deltaPageIn(4, 40, rowIn(4, "e", 40, ""))) {
		t.Error("a delta of a later era is applied")
	}
}

// A response of the earlier era with a higher version arrives after one of the new era, over another
// connection or from a peer. It must be rejected.
func TestLateResponseOfEarlierEra(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 36, "old")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 32, rowIn(2, "a", 32, "new")))
	if c.Apply(tableName, posIn(1, 36), deltaPageIn(1, 40, rowIn(1, "a", 40, "late"))) ||
		c.Apply(tableName, posIn(0, 0), fullPageIn(1, 41, rowIn(1, "a", 41, "late"))) {
		t.Error("a response of an earlier era is applied")
	}
	c.expectRows(t, "after the late response", map[table.Key]string{"a": "new"})
}

// Of two routers in different eras, the one behind receives all rows of the later era, and the one
// ahead receives none of the earlier, whatever their versions are.
func TestRoutersInDifferentEras(t *testing.T) {
	behind, ahead := newFixture(t), newFixture(t)
	behind.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 36, "old")))
	ahead.Apply(tableName, posIn(0, 0), fullPageIn(2, 32, rowIn(2, "a", 31, "new")))
	page, _ := behind.Since(State{Table: tableName, Known: true, At: posIn(2, 32)})
	if ahead.Apply(tableName, posIn(2, 32), page) || len(page.Rows) > 0 {
		t.Errorf("a router in an earlier era sends %d rows", len(page.Rows))
	}
	if _, hasUpdates := behind.hasUpdates(map[table.Name]table.Position{tableName: posIn(2, 32)}); hasUpdates {
		t.Error("a router in an earlier era has updates for one in a later era")
	}
	if _, hasUpdates := ahead.hasUpdates(map[table.Name]table.Position{tableName: posIn(1, 36)}); !hasUpdates {
		t.Error("a router in a later era has no updates for one in an earlier era")
	}
	page, _ = ahead.Since(State{Table: tableName, Known: true, At: posIn(1, 36)})
	if !behind.Apply(tableName, posIn(1, 36), page) {
		t.Error("the page of a router in a later era is rejected")
	}
	behind.expectRows(t, "after the exchange", map[table.Key]string{"a": "new"})
}

// A target reports that it is leaving, and the row of another one is removed, after the snapshot was
// made that the store is then restored from. The store returns the first target as ready and the
// second one's row again. The replica must not go back to states that it has seen superseded until
// the rows are written again.
func TestSupersededRowsAfterStoreRollback(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 30, rowIn(1, "leaves", 10, "ready"), rowIn(1, "gone", 11, "ready"), rowIn(1, "stays", 12, "ready")))
	c.Apply(tableName, posIn(1, 30), deltaPageIn(1, 32, rowIn(1, "leaves", 31, "leaving"), table.Row{Key: "gone", Era: 1, Version: 32, Deleted: true}))
	c.advance(time.Second)
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 30, rowIn(2, "leaves", 10, "ready"), rowIn(2, "gone", 11, "ready"), rowIn(2, "stays", 12, "ready")))
	known := map[table.Key]string{"leaves": "leaving", "stays": "ready"}
	c.expectRows(t, "after the store rollback", known)
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 30, rowIn(2, "leaves", 10, "ready"), rowIn(2, "gone", 11, "ready"), rowIn(2, "stays", 12, "ready")))
	c.expectRows(t, "after another full read", known)
	c.Apply(tableName, posIn(2, 30), deltaPageIn(2, 31, rowIn(2, "leaves", 31, "leaving")))
	c.advance(RemovalGracePeriod + time.Millisecond)
	c.expectRows(t, "after the leaving target has written its row again", known)
	c.Apply(tableName, posIn(2, 31), deltaPageIn(2, 32, rowIn(2, "gone", 32, "ready")))
	c.expectRows(t, "after the removed target has written its row again", map[table.Key]string{"leaves": "leaving", "gone": "ready", "stays": "ready"})
}

// Overrides of rows that are not written again expire: a superseded state after the time that
// targets take to rewrite their rows, a removed row with its tombstone.
func TestSupersededRowsExpire(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 30, rowIn(1, "a", 10, "first"), rowIn(1, "b", 11, "first")))
	c.Apply(tableName, posIn(1, 30), deltaPageIn(1, 32, rowIn(1, "a", 31, "second"), table.Row{Key: "b", Era: 1, Version: 32, Deleted: true}))
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 30, rowIn(2, "a", 10, "first"), rowIn(2, "b", 11, "first")))
	c.expectRows(t, "after the store rollback", map[table.Key]string{"a": "second"})
	c.advance(RemovalGracePeriod + time.Millisecond)
	c.expectRows(t, "after the grace period", map[table.Key]string{"a": "first"})
	c.advance(tombstoneTTL)
	c.expectRows(t, "after the tombstone expired", map[table.Key]string{"a": "first", "b": "first"})
}

// Rows missing from the restored store stay effective until their targets have had time to rewrite
// them, however short the outage was. The row of a target that has crashed meanwhile then expires.
func TestRowsMissingAfterStoreRollback(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "lives", 35, "ready"), rowIn(1, "dies", 36, "ready")))
	c.advance(100 * time.Millisecond)
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 32))
	c.expectRows(t, "after the store rollback", map[table.Key]string{"lives": "ready", "dies": "ready"})
	c.Apply(tableName, posIn(2, 32), deltaPageIn(2, 33, rowIn(2, "lives", 33, "ready")))
	c.advance(RemovalGracePeriod + time.Millisecond)
	c.expectRows(t, "after the grace period", map[table.Key]string{"lives": "ready"})
}

// A row that is missing from the restored store but still effective is removed once the store
// reports its deletion.
func TestDeletionOfMissingRow(t *testing.T) {
	c := newFixture(t)
	c.AddTable(tableName, Rules{MissingRowTTL: time.Hour}, c.replicas[tableName].changed)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 35, "closed")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 32))
	c.advance(RemovalGracePeriod + time.Millisecond)
	c.expectRows(t, "before the deletion", map[table.Key]string{"a": "closed"})
	c.Apply(tableName, posIn(2, 32), deltaPageIn(2, 34, table.Row{Key: "a", Era: 2, Version: 34, Deleted: true}))
	c.expectRows(t, "after the deletion", map[table.Key]string{})
}

// Two store rollbacks follow each other closely, the second one skipping an era.
func TestConsecutiveStoreRollbacks(t *testing.T) {
	c := newFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 36, rowIn(2, "a", 36, "one")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(3, 33, rowIn(3, "a", 33, "two")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(5, 31, rowIn(5, "a", 31, "three")))
	if diff := cmp.Diff([]any{posIn(5, 31), true}, pair(c.Position(tableName))); diff != "" {
		t.Error(diff)
	}
	c.advance(RemovalGracePeriod + time.Millisecond)
	c.expectRows(t, "after both rollbacks", map[table.Key]string{"a": "three"})
}

// If the store's version drops without a new era, the replica stays as it is until the version has
// caught up, and the store is called no more often than during an outage.
func TestStoreRollbackWithoutEra(t *testing.T) {
	b, _, keys := testReplicas()
	s := &fakeSource{results: []result{
		{page: fullPage(36, row("a", 36))},
		{err: fault.New("test", table.Compacted, nil)},
		{page: fullPage(32, row("b", 32))},
		{page: fullPage(33, row("b", 32))},
		{page: fullPage(37, row("b", 37))},
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
