package crash

import (
	"fmt"
	"testing"
	"time"

	"valescale/internal/plat/ident"
)

// BenchmarkRequest measures what the record adds to a request that is admitted and served, or rejected, with 5 and
// with 50 parts in its prompt and a full record of suspects.
func BenchmarkRequest(b *testing.B) {
	r := newRecord()
	for i := range maxEntries - 1 {
		r.Crashed(at(0), []Trait{Part(ident.PartHash(1000 + i))}, Start(i%20), time.Second)
	}
	for start := range Start(3) {
		r.Crashed(at(float64(start)), []Trait{Part(fatalPart)}, start, 60*time.Millisecond)
	}
	for _, count := range []int{5, 50} {
		var parts []ident.PartHash
		for i := range count {
			parts = append(parts, ident.PartHash(1<<50+i))
		}
		b.Run(fmt.Sprint("served with ", count, " parts"), func(b *testing.B) {
			for b.Loop() {
				traits := Traits(1, parts)
				r.Quarantine(at(3), traits)
				r.Admit(at(3), traits)
				r.Served(at(3), traits)
			}
		})
		b.Run(fmt.Sprint("rejected with ", count, " parts"), func(b *testing.B) {
			for b.Loop() {
				r.Quarantine(at(3), Traits(1, append(parts[1:], fatalPart)))
			}
		})
	}
}
