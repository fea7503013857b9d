package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/retry"
)

// Seen: on a quiet day of 986 routers 130 of 1,728 requests that may be repeated ended with a target's failure, seven
// times as many as two targets in a row fail, while the fleet had used a tenth of its retries.
//
// How: each router sees such a request in ten seconds or so. Its part of the fleet's extra retries grew from nothing
// over ten seconds that began with the service's first request, so that the first ones had none.
//
// Cause: the time for which a router's earlier process may have used its part was counted from the first request,
// in place of from the start of the process.
func TestRetryBudgetOfFirstRequestsInALargeFleet(t *testing.T) {
	const routers = 986
	allowance := retry.Allowance{Ratio: 0.2, Extra: 1040, Span: 10 * time.Second}
	start := time.Unix(1000, 0)
	b := newRetryBudget(start, allowance, func() int { return routers })
	got := map[string]bool{}
	b.Request("early", start.Add(time.Second))
	got["in the first second of the process"] = b.Retry("early", start.Add(time.Second))
	b.Request("s", start.Add(time.Minute))
	got["after a minute"] = b.Retry("s", start.Add(time.Minute))
	got["the second in a moment"] = b.Retry("s", start.Add(time.Minute))
	want := map[string]bool{"in the first second of the process": false, "after a minute": true, "the second in a moment": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
