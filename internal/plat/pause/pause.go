package pause

import (
	"context"
	"time"
)

// Sleep waits for the duration d or until ctx is done, whichever is first, and reports whether the
// full duration passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
