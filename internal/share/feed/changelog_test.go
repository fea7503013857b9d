package feed

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/table"
)

// A peer that lags behind gets the same rows from the change log as from a scan of all rows, for
// every position, and a replica that is updated with them becomes equal.
func TestChangeLogMatchesScan(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b, _, _ := testReplicas()
		follower, _, _ := testReplicas()
		version := table.Version(1)
		b.Apply(tableName, pos(0), fullPage(version, row("0", 1)))
		follower.Apply(tableName, pos(0), fullPage(version, row("0", 1)))
		versions := []table.Version{version}
		for range 300 {
			before := version
			var rows []table.Row
			for range rng.IntN(4) {
				version++
				key := table.Key(strconv.Itoa(rng.IntN(20)))
				if rng.IntN(3) == 0 {
					rows = append(rows, deletedRow(key, version))
				} else {
					rows = append(rows, row(key, version))
				}
			}
			b.Apply(tableName, pos(before), deltaPage(version, rows...))
			versions = append(versions, version)
			from := versions[rng.IntN(len(versions))]
			page, _ := b.Since(State{Table: tableName, Known: true, At: pos(from)})
			all := b.replicas[tableName].scanSince(State{Table: tableName, Known: true, At: pos(from)})
			slices.SortFunc(page.Rows, byKey)
			slices.SortFunc(all, byKey)
			if diff := cmp.Diff(all, page.Rows); diff != "" {
				t.Fatalf("seed %d, since %d of %d: %s", seed, from, version, diff)
			}
			if rng.IntN(5) == 0 {
				have := follower.State(tableName)
				page, _ := b.Since(have)
				follower.Apply(tableName, have.At, page)
				if diff := cmp.Diff(b.replicas[tableName].effectiveRows(), follower.replicas[tableName].effectiveRows()); diff != "" {
					t.Fatalf("seed %d, at %d: %s", seed, version, diff)
				}
			}
		}
	}
}

// BenchmarkSince measures a request of a peer that lags behind by one change.
func BenchmarkSince(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 20_000} {
		b.Run(strconv.Itoa(rows), func(b *testing.B) {
			testReplicas, _, _ := testReplicas()
			var all []table.Row
			for i := range rows {
				all = append(all, row(table.Key(strconv.Itoa(i)), table.Version(i+1)))
			}
			testReplicas.Apply(tableName, pos(0), fullPage(table.Version(rows), all...))
			testReplicas.Apply(tableName, pos(table.Version(rows)), deltaPage(table.Version(rows+1), row("7", table.Version(rows+1))))
			for b.Loop() {
				testReplicas.Since(State{Table: tableName, Known: true, At: pos(table.Version(rows))})
			}
		})
	}
}
