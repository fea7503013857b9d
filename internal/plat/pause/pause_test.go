package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/pause"
)

// outcome is the result of Sleep and the time it took.
type outcome struct {
	Completed bool
	Elapsed   time.Duration
}

func TestSleepStopsWithContext(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		want    outcome
	}{
		{"duration passes", time.Hour, outcome{Completed: true, Elapsed: time.Minute}},
		{"context is done", time.Second, outcome{Completed: false, Elapsed: time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				start := time.Now()
				got := outcome{Completed: pause.Sleep(ctx, time.Minute), Elapsed: time.Since(start)}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		})
	}
}
