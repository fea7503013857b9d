package feed

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/table"
)

// newRankedFixture returns a fixture in which a row's value is its rank.
func newRankedFixture(t *testing.T) *fixture {
	t.Helper()
	c := newFixture(t)
	changed := c.replicas[tableName].changed
	c.AddTable(tableName, Rules{MissingRowTTL: RemovalGracePeriod, Rank: func(row table.Row) uint64 {
		// A value that is not a number has rank zero.
		rank, _ := strconv.ParseUint(string(row.Value), 10, 64)
		return rank
	}}, changed)
	return c
}

// A ranked row stays effective after any store rollback and for any time. A row of higher rank
// replaces it whatever its version is.
func TestRankedRowsNeverGoBack(t *testing.T) {
	c := newRankedFixture(t)
	c.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 36, "46")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(2, 32, rowIn(2, "a", 30, "40")))
	c.advance(2 * tombstoneTTL)
	c.expectRows(t, "while the store has a lower rank", map[table.Key]string{"a": "46"})
	c.Apply(tableName, posIn(2, 32), deltaPageIn(2, 33, rowIn(2, "a", 33, "43")))
	c.Apply(tableName, posIn(0, 0), fullPageIn(3, 20))
	c.advance(2 * tombstoneTTL)
	c.expectRows(t, "while the store has no row", map[table.Key]string{"a": "46"})
	c.Apply(tableName, posIn(3, 20), deltaPageIn(3, 21, rowIn(3, "a", 21, "50")))
	c.expectRows(t, "after the store returned a higher rank", map[table.Key]string{"a": "50"})
	c.Apply(tableName, posIn(3, 21), deltaPageIn(3, 22, rowIn(3, "a", 22, "invalid")))
	c.expectRows(t, "within one era the store's row is effective", map[table.Key]string{"a": "invalid"})
}

// Ranked rows are sent to peers that have lower ones, in the same, a later or an earlier era, and
// only to those.
func TestRankedRowsAreSentToPeers(t *testing.T) {
	overriding := newRankedFixture(t)
	overriding.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 36, "46")))
	overriding.Apply(tableName, posIn(0, 0), fullPageIn(2, 32, rowIn(2, "a", 30, "40")))
	behind := newRankedFixture(t)
	behind.Apply(tableName, posIn(0, 0), fullPageIn(1, 36, rowIn(1, "a", 36, "46")))
	sync := func(from, to *fixture) int {
		page, _ := from.Since(to.State(tableName))
		to.Apply(tableName, to.State(tableName).At, page)
		return len(page.Kept)
	}
	for what, from := range map[string]*fixture{"in the same era": overriding, "in an earlier era": behind} {
		starting := newRankedFixture(t)
		starting.Apply(tableName, posIn(0, 0), fullPageIn(2, 32, rowIn(2, "a", 30, "40")))
		first := sync(from, starting)
		if diff := cmp.Diff([]int{1, 0}, []int{first, sync(from, starting)}); diff != "" {
			t.Errorf("rows sent by a router %s, in the first and second page: %s", what, diff)
		}
		starting.expectRows(t, what, map[table.Key]string{"a": "46"})
	}
	fresh := newRankedFixture(t)
	sync(overriding, fresh)
	fresh.expectRows(t, "at a router without a replica", map[table.Key]string{"a": "46"})
}
