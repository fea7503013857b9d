package pace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// report adds n reports of a pace at an interval and returns the time of the last one.
func (g *Gauge) report(from time.Time, n int, interval time.Duration, p Pace) time.Time {
	now := from
	for range n {
		now = now.Add(interval)
		g.Add(now, Report{Reported: p})
	}
	return now
}

// levelOf returns the level of n gauges of usual pace besides the given one.
func levelOf(now time.Time, g *Gauge, n int) Level {
	gauges := []*Gauge{g}
	for range n {
		other := &Gauge{}
		other.Add(now, Report{Reported: Usual, Took: time.Second, Expected: time.Second})
		gauges = append(gauges, other)
	}
	return NewLevel(now, gauges)
}

// A disturbance of 600 ms, in which a busy engine reports four times, must not count as lasting: its
// requests would leave their cached prefixes.
func TestShortDisturbanceIsNotLasting(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 8, 200*time.Millisecond, 1)
	for i := range 3 {
		now = g.report(now, 1, 200*time.Millisecond, 2.5)
		if got := g.Lasting(now, levelOf(now, g, 4)); got != 1 {
			t.Errorf("lasting pace %v after %d ms, want 1", got, 200*(i+1))
		}
	}
	e := g.Estimate(now, levelOf(now, g, 4), time.Second)
	if got := e.Time(0, 100*time.Millisecond); got != 250*time.Millisecond {
		t.Errorf("100 ms of work take %v at present, want 250ms", got)
	}
}

// Many answers at once, as after a burst of requests, are one observation of the target's pace.
func TestBurstOfAnswersIsOneReport(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 8, 200*time.Millisecond, 1)
	now = g.report(now.Add(200*time.Millisecond), 20, time.Millisecond, 2.5)
	if got := g.Lasting(now, levelOf(now, g, 4)); got != 1 {
		t.Errorf("lasting pace %v after answers of 20 ms, want 1", got)
	}
}

// A reported pace says nothing about the present once it is older than PresentTTL.
func TestReportedPaceExpires(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 8, 200*time.Millisecond, 1)
	now = g.report(now, 1, 200*time.Millisecond, 2.5).Add(PresentTTL)
	if got := g.Estimate(now, levelOf(now, g, 4), time.Second).Time(0, 100*time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("100 ms of work take %v after the report has expired, want 100ms", got)
	}
}

// A target that becomes three times slower is seen within 1.2 s of its answers.
func TestSlowTargetIsSeen(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 20, 200*time.Millisecond, 1)
	now = g.report(now, 6, 200*time.Millisecond, 3)
	if got := g.Lasting(now, levelOf(now, g, 4)); got != 3 {
		t.Errorf("lasting pace %v after a second, want 3", got)
	}
}

// A target may report the usual pace and be slow: the time that its requests take goes first.
func TestMeasuredPaceContradictsReport(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 8, 200*time.Millisecond, 1)
	g.Add(now, Report{Took: 3 * time.Second, Expected: time.Second})
	if got := g.Lasting(now, levelOf(now, g, 4)); got != 3 {
		t.Errorf("lasting pace %v, want the measured 3", got)
	}
	healthy := &Gauge{}
	now = healthy.report(start, 8, 200*time.Millisecond, 1)
	healthy.Add(now, Report{Took: 1300 * time.Millisecond, Expected: time.Second})
	if got := healthy.Lasting(now, levelOf(now, healthy, 4)); got != 1 {
		t.Errorf("lasting pace %v of a target whose requests ran beside others, want 1", got)
	}
}

// A target that becomes fast again finishes requests that began while it was slow. Their times agree
// with the pace that it reported with them, and do not count against it.
func TestRecoveryIsNotContradicted(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 10, 200*time.Millisecond, 3)
	g.Add(now, Report{Took: 6 * time.Second, Expected: 6 * time.Second})
	now = g.report(now, 4, 200*time.Millisecond, 1)
	if got := g.Lasting(now, levelOf(now, g, 4)); got != 1 {
		t.Errorf("lasting pace %v after the recovery, want 1", got)
	}
}

// Targets that report no pace are judged by the time that their requests take.
func TestMeasuredPaceAlone(t *testing.T) {
	g := &Gauge{}
	level := levelOf(start, g, 4)
	for _, c := range []struct {
		took time.Duration
		want Pace
	}{{900 * time.Millisecond, 0}, {1300 * time.Millisecond, 0}, {4 * time.Second, 4}} {
		g := &Gauge{}
		g.Add(start, Report{Took: c.took, Expected: time.Second})
		if got := g.Lasting(start, level); got != c.want {
			t.Errorf("lasting pace %v after %v in place of 1s, want %v", got, c.took, c.want)
		}
	}
	short := &Gauge{}
	short.Add(start, Report{Took: 900 * time.Millisecond, Expected: 300 * time.Millisecond})
	if got := short.Lasting(start, level); got != 0 {
		t.Errorf("lasting pace %v after one short answer, want none", got)
	}
}

// The recovery of a target that gets no requests is seen: after probeDelay one short request is sent
// there as if it had recovered, and after probeDelayAny any request.
func TestSilentTargetIsTried(t *testing.T) {
	g := &Gauge{}
	now := g.report(start, 20, 200*time.Millisecond, 3)
	level := levelOf(now, g, 4)
	long := func(now time.Time) Pace { return g.Estimate(now, level, time.Second).Lasting }
	short := func(now time.Time) Pace { return g.Estimate(now, level, 50*time.Millisecond).Lasting }
	tried := now.Add(probeDelay + time.Millisecond)
	got := []Pace{short(now), short(tried), long(tried), long(now.Add(probeDelayAny + time.Millisecond))}
	g.MarkProbe(tried)
	got = append(got, short(tried.Add(time.Millisecond)))
	if diff := cmp.Diff([]Pace{3, 1, 3, 1, 3}, got); diff != "" {
		t.Error(diff)
	}
	// Four answers at the usual pace outweigh the earlier ones.
	after := g.report(tried, 5, 200*time.Millisecond, 1)
	if got := long(after); got != 1 {
		t.Errorf("lasting pace %v after %v, want 1", got, after.Sub(tried))
	}
	if recovered := probeDelay + 5*200*time.Millisecond; recovered > 2500*time.Millisecond {
		t.Errorf("recovery is seen after %v", recovered)
	}
}

// Paces out of range carry no information, whatever else the report holds.
func TestImplausibleReportsAreIgnored(t *testing.T) {
	g := &Gauge{}
	for _, r := range []Report{{Reported: -1}, {Reported: 0.01}, {Reported: 1e6}, {Took: time.Hour, Expected: time.Millisecond}, {Took: time.Second}, {}} {
		g.Add(start, r)
		if g.Known() {
			t.Fatalf("report %+v was used", r)
		}
	}
}

// If all targets are slow, none is slower than usual.
func TestAllTargetsSlow(t *testing.T) {
	var gauges []*Gauge
	for range 5 {
		g := &Gauge{}
		g.Add(start, Report{Reported: Usual, Took: 3 * time.Second, Expected: time.Second})
		gauges = append(gauges, g)
	}
	level := NewLevel(start, gauges)
	for _, g := range gauges {
		if got := g.Lasting(start, level); got != 1 {
			t.Errorf("lasting pace %v, want the reported 1", got)
		}
	}
}

func TestEstimateTime(t *testing.T) {
	e := Estimate{Lasting: 1, present: 2, presentFor: 100 * time.Millisecond}
	got := []time.Duration{
		e.Time(0, 20*time.Millisecond), e.Time(0, 50*time.Millisecond), e.Time(0, 150*time.Millisecond),
		e.Time(50*time.Millisecond, 150*time.Millisecond), e.Time(time.Second, 150*time.Millisecond),
	}
	want := []time.Duration{40 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 175 * time.Millisecond, 150 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestUnsentReports(t *testing.T) {
	var u Unsent
	u.Add(start, Report{Target: 1, Reported: 2})
	u.Add(start.Add(30*time.Millisecond), Report{Target: 1, Took: 3 * time.Second, Expected: time.Second})
	u.Add(start.Add(30*time.Millisecond), Report{Target: 1, Took: time.Second, Expected: time.Second})
	u.Add(start, Report{Target: 2, Reported: 1})
	u.Remove(func(target ident.TargetHash) bool { return target == 2 })
	want := []Report{{Target: 1, Reported: 2, Age: 50 * time.Millisecond, Took: 4 * time.Second, Expected: 2 * time.Second}}
	if diff := cmp.Diff(want, u.Take(start.Add(50*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	if got := u.Take(start); got != nil {
		t.Errorf("reports %v were sent twice", got)
	}
	var none *Unsent
	if got := none.Take(start); got != nil {
		t.Errorf("%v from no reports", got)
	}
}
