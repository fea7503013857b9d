package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/retry"
)

// Guards against a router without retries for the first requests of a service. If the window starts
// with the first request instead of the process, the router's part of the fleet's extra retries
// grows from zero over the following ten seconds. In a fleet of 986 routers, each of which receives
// a repeatable request about every ten seconds, 130 of 1,728 such requests fail although only a
// tenth of the retry budget is used. That is seven times as many as fail because two targets in a
// row do.
func TestRetryBudgetOfFirstRequestsInALargeFleet(t *testing.T) {
	const routers = 986
	allowance := retry.Allowance{Ratio: 0.2, Extra: 1040, Span: 10 * time.Second}
	start := time.Unix(1000, 0)
	b := newRetryBudget(start, allowance, func() int { return routers })
	got := map[string]bool{}
	b.Request("early", start.Add(time.Second))
	got["in the first second of the process"] = b.Retry("early", start.Add(time.Second))
	b.Request("s", start.Add(time.Minute))
	got["after one minute"] = b.Retry("s", start.Add(time.Minute))
	got["second retry at the same time"] = b.Retry("s", start.Add(time.Minute))
	want := map[string]bool{"in the first second of the process": false, "after one minute": true, "second retry at the same time": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
