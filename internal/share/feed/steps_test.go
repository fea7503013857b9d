package feed

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/table"
)

// What is told to those who lag behind is the same whether changes are remembered in order or all rows are looked at,
// for each position and however long ago it was; and a copy that follows by it comes to be the same.
func TestLaggingCopiesAreToldAll(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b, _, _ := board()
		follower, _, _ := board()
		version := table.Version(1)
		b.Take(name, at(0), whole(version, row("0", 1)))
		follower.Take(name, at(0), whole(version, row("0", 1)))
		told := []table.Version{version}
		for range 300 {
			before := version
			var rows []table.Row
			for range rng.IntN(4) {
				version++
				key := table.Key(strconv.Itoa(rng.IntN(20)))
				if rng.IntN(3) == 0 {
					rows = append(rows, gone(key, version))
				} else {
					rows = append(rows, row(key, version))
				}
			}
			b.Take(name, at(before), changes(version, rows...))
			told = append(told, version)
			from := told[rng.IntN(len(told))]
			page, _ := b.Since(State{Table: name, Known: true, At: at(from)})
			all := b.tables[name].scan(State{Table: name, Known: true, At: at(from)})
			slices.SortFunc(page.Rows, byKey)
			slices.SortFunc(all, byKey)
			if diff := cmp.Diff(all, page.Rows); diff != "" {
				t.Fatalf("seed %d, since %d of %d: %s", seed, from, version, diff)
			}
			if rng.IntN(5) == 0 {
				have := follower.State(name)
				page, _ := b.Since(have)
				follower.Take(name, have.At, page)
				if diff := cmp.Diff(b.tables[name].counting(), follower.tables[name].counting()); diff != "" {
					t.Fatalf("seed %d, at %d: %s", seed, version, diff)
				}
			}
		}
	}
}

// BenchmarkSince is what a router asks for that was told a moment ago.
func BenchmarkSince(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 20_000} {
		b.Run(strconv.Itoa(rows), func(b *testing.B) {
			board, _, _ := board()
			var all []table.Row
			for i := range rows {
				all = append(all, row(table.Key(strconv.Itoa(i)), table.Version(i+1)))
			}
			board.Take(name, at(0), whole(table.Version(rows), all...))
			board.Take(name, at(table.Version(rows)), changes(table.Version(rows+1), row("7", table.Version(rows+1))))
			for b.Loop() {
				board.Since(State{Table: name, Known: true, At: at(table.Version(rows))})
			}
		})
	}
}
