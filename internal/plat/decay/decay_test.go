package decay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestFactor(t *testing.T) {
	var got []float64
	for _, elapsed := range []time.Duration{-time.Hour, 0, time.Second, 2 * time.Second} {
		got = append(got, Factor(elapsed, time.Second))
	}
	if diff := cmp.Diff([]float64{1, 1, 0.5, 0.25}, got); diff != "" {
		t.Error(diff)
	}
}
