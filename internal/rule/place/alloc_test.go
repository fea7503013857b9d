package place_test

import (
	"fmt"
	"testing"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

func benchmarkHome(n int) (*place.Home, func(uint64) place.Request) {
	h, _ := newHome(n)
	for i := range uint64(n * 13) {
		h.Place(start, permitRequest(i+1, ident.ChatKey(i)))
	}
	return h, func(i uint64) place.Request { return permitRequest(1_000_000+i, ident.ChatKey(i%5000)) }
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{8, 20} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			h, request := benchmarkHome(n)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				h.Place(start, request(i))
				h.Release("router-b", 1_000_000+i)
			}
		})
	}
}

func TestPlaceDoesNotAllocate(t *testing.T) {
	h, request := benchmarkHome(20)
	i := uint64(0)
	got := testing.AllocsPerRun(20_000, func() {
		i++
		h.Place(start, request(i))
		h.Release("router-b", 1_000_000+i)
	})
	if got >= 1 {
		t.Errorf("%.2f allocations per placement, want none", got)
	}
}
