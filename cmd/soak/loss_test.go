package main

import (
	"net/http"
	"testing"
	"time"
)

// It guards against a soak that leaves out more than attempts without an answer while no router lives.
func TestOnlyUnansweredAttemptsInAnOutageAreLeftOut(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tests := map[string]struct {
		got  answer
		open bool
		want bool
	}{
		"refused in it":         {got: answer{sentAt: at(11), endedAt: at(12)}, want: true},
		"broken by its begin":   {got: answer{sentAt: at(9), endedAt: at(11)}, want: true},
		"before it":             {got: answer{sentAt: at(8), endedAt: at(9)}},
		"after it":              {got: answer{sentAt: at(21), endedAt: at(22)}},
		"after, not ended yet":  {got: answer{sentAt: at(21), endedAt: at(22)}, open: true, want: true},
		"rejected in it":        {got: answer{status: http.StatusServiceUnavailable, sentAt: at(11), endedAt: at(12)}},
		"answer broken in it":   {got: answer{status: http.StatusOK, sentAt: at(11), endedAt: at(12)}},
		"sent before its end":   {got: answer{sentAt: at(19), endedAt: at(25)}, want: true},
		"ended before it began": {got: answer{sentAt: at(1), endedAt: at(2)}, open: true},
	}
	for name, tt := range tests {
		o := newOrders()
		o.outages = []outage{{from: at(10), to: at(20)}}
		if tt.open {
			o.outages[0].to = time.Time{}
		}
		if left := o.unanswered(tt.got); left != tt.want {
			t.Errorf("%s: left out %t; want %t", name, left, tt.want)
		}
	}
}

// It guards against a soak that takes too few streams that go on for enough.
func TestTooFewStreamsAfterALossAreAViolation(t *testing.T) {
	tests := map[string]struct {
		tallies lossTallies
		broken  bool
	}{
		"as before":              {lossTallies{steady: tally{20, 18}, lasting: tally{20, 10}, begun: tally{20, 20}}, false},
		"one version refused":    {lossTallies{steady: tally{20, 17}, lasting: tally{20, 10}, begun: tally{20, 20}}, true},
		"too few of one version": {lossTallies{steady: tally{lossStreams/2 - 1, lossStreams/2 - 1}}, true},
		"versions refused":       {lossTallies{steady: tally{20, 20}, lasting: tally{20, 9}, begun: tally{20, 20}}, true},
		"hardly any with a live version": {lossTallies{
			steady: tally{20, 20}, lasting: tally{minLasting - 1, 0}, begun: tally{20, 20},
		}, false},
	}
	for name, tt := range tests {
		l := newLedger(1)
		l.addLoss(tt.tallies)
		l.checkLossesLocked()
		if broken := len(l.violations) > 0; broken != tt.broken {
			t.Errorf("%s: violations %q; want some: %t", name, l.violations, tt.broken)
		}
	}
}

// It guards against a soak that lets a try to take a stream up run although it was rejected.
func TestRejectedTakeUpsHaveNotRun(t *testing.T) {
	for takesUp, want := range map[bool]int{true: 1, false: 0} {
		l := newLedger(1)
		l.recordSent("a", resumePath, "")
		l.recordRun("i-0", "a", resumePath, "")
		l.recordRejected("a", takesUp)
		l.checkRunsLocked()
		if len(l.violations) != want {
			t.Errorf("takes up %t: violations %q; want %d", takesUp, l.violations, want)
		}
	}
}
