package route_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
)

// Guards against streams whose callers return too early: the Retry-After delay is that of the targets of the
// version, not of others that are in backoff for less time.
func TestRetryAfterIgnoresOtherVersions(t *testing.T) {
	for _, c := range []struct {
		name       string
		notice     route.Notice
		want       route.Kind
		retryAfter time.Duration
	}{
		{"in backoff", route.Notice{Backoff: 3 * time.Second}, route.BackingOff, 3 * time.Second},
		{"leaving", route.Notice{Leaving: true}, route.NoTarget, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, r, _ := newFleet()
			f.setVersions(r, 1, "v1", "v2")
			r.ReportNotice(versionTarget("v1-0"), route.Notice{Backoff: 200 * time.Millisecond})
			r.ReportNotice(versionTarget("v2-0"), c.notice)
			r.ReportNotice(versionTarget("v2-1"), c.notice)
			_, err := acquireVersion(r, 1, "v2")
			var retryAfter route.RetryAfter
			errors.As(err, &retryAfter)
			if diff := cmp.Diff(c.retryAfter, retryAfter.Wait); diff != "" {
				t.Errorf("%v: %s", err, diff)
			}
			if diff := cmp.Diff(c.want, fault.KindOf[route.Kind](err)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
