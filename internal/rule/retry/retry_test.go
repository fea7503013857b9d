package retry_test

import (
	"testing"
	"time"

	"valescale/internal/rule/retry"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func TestMaySend(t *testing.T) {
	cases := []struct {
		repeat retry.Repeat
		step   retry.Step
		bytes  bool
		want   bool
	}{
		{retry.Never, retry.Placing, false, true},
		{retry.Never, retry.Dialing, false, true},
		{retry.Never, retry.Refused, false, true},
		{retry.Never, retry.Sending, false, false},
		{retry.Never, retry.Answering, false, false},
		{retry.Unstarted, retry.Dialing, false, true},
		{retry.Unstarted, retry.Sending, false, false},
		{retry.Safe, retry.Sending, false, true},
		{retry.Safe, retry.Answering, false, true},
		{retry.Safe, retry.Answering, true, false},
		{retry.Safe, retry.Answered, false, false},
	}
	for _, c := range cases {
		if got := retry.MaySend(c.repeat, c.step, c.bytes); got != c.want {
			t.Errorf("MaySend(%s, %d, %v) = %v", c.repeat, c.step, c.bytes, got)
		}
	}
}

func TestOutcomesCombine(t *testing.T) {
	cases := []struct{ a, b, want retry.Outcome }{
		{"", retry.NotRun, retry.NotRun},
		{retry.Unknown, retry.NotRun, retry.Unknown},
		{retry.NotRun, retry.Unknown, retry.Unknown},
		{retry.Unknown, retry.Done, retry.Done},
		{retry.NotRun, retry.NotRun, retry.NotRun},
	}
	for _, c := range cases {
		if got := retry.CombineOutcomes(c.a, c.b); got != c.want {
			t.Errorf("CombineOutcomes(%q, %q) = %q, want %q", c.a, c.b, got, c.want)
		}
	}
	if retry.OutcomeOf(retry.Sending) != retry.Unknown || retry.OutcomeOf(retry.Dialing) != retry.NotRun {
		t.Error("wrong outcome of an attempt that ended at Sending or at Dialing")
	}
}

// While every request fails, the budget must limit the load on the targets to the number of
// requests plus a tenth, whatever the number of routers.
func TestBudgetLimitsRetriesDuringOutage(t *testing.T) {
	const perSecond, seconds = 100, 60
	b := retry.NewBudget(start, 0.1, 1)
	retries := 0
	for n := range perSecond * seconds {
		now := start.Add(time.Duration(n) * time.Second / perSecond)
		b.Request()
		for range 2 {
			if b.Retry(now) {
				retries++
			}
		}
	}
	maxRetries := perSecond*seconds/10 + seconds + 10
	if retries > maxRetries || retries < perSecond*seconds/10 {
		t.Errorf("%d retries for %d requests, want at most %d", retries, perSecond*seconds, maxRetries)
	}
}

func TestBreaker(t *testing.T) {
	b := retry.NewBreaker(start)
	for range 3 {
		b.Report(start, true)
	}
	b.Report(start, false)
	if b.Blocked(start) {
		t.Fatal("breaker opens after one failure in four requests")
	}
	for range 3 {
		b.Report(start, false)
	}
	if !b.Blocked(start) || b.Allow(start) {
		t.Fatal("breaker stays closed after four failures in seven requests")
	}
	afterOpen := start.Add(2 * time.Second)
	if b.Blocked(afterOpen) || !b.Allow(afterOpen) {
		t.Fatal("no probe is admitted after the open duration")
	}
	if !b.Blocked(afterOpen) {
		t.Error("a second probe is admitted while the first is in flight")
	}
	b.Report(afterOpen, false)
	if !b.Blocked(afterOpen.Add(time.Second)) {
		t.Error("a failed probe does not extend the open duration")
	}
	afterSecondOpen := afterOpen.Add(3 * time.Second)
	b.Allow(afterSecondOpen)
	b.ReportCancelled()
	if !b.Allow(afterSecondOpen) {
		t.Error("a cancelled probe blocks the next one")
	}
	b.Report(afterSecondOpen, true)
	if b.State() != retry.Closed {
		t.Errorf("state %s after a successful probe", b.State())
	}
}
