package entry

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A router whose idle timer runs late was itself delayed and must not report the target as silent.
func TestSilenceTimerOnDelayedRouter(t *testing.T) {
	for _, test := range []struct {
		late time.Duration
		want error
	}{{late: 0, want: errTargetSilent}, {late: time.Second, want: errRouterDelayed}} {
		const limit = 10 * time.Millisecond
		start := time.Now()
		calls := 0
		clock := func() time.Time {
			if calls++; calls == 1 {
				return start
			}
			return start.Add(limit + test.late)
		}
		ctx, timer := newIdleTimeout(t.Context(), clock, limit, 0, nil)
		<-ctx.Done()
		if got := context.Cause(ctx); !errors.Is(got, test.want) {
			t.Errorf("timer %v late: %v, want %v", test.late, got, test.want)
		}
		timer.stop()
	}
}
