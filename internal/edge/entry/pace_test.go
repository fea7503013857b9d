package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/rule/pace"
)

// The pace in an answer is reported to the finder before the answer's end, and the time that the
// answer took after it. Further answers are compared with the earlier ones.
func TestPaceOfAnswersIsReported(t *testing.T) {
	target := newFakeTarget(t, answer(200, "Pace: 2.5\r\n", "x"))
	s := newSetup(t, newRoute(nil), target)
	for range 2 {
		s.call(t, "GET", "/", "")
	}
	s.finder.mu.Lock()
	defer s.finder.mu.Unlock()
	reported := pace.Report{Target: ident.Target("t0").Hash(), Reported: 2.5}
	if diff := cmp.Diff([]pace.Report{reported, reported}, s.finder.paces[:2]); diff != "" {
		t.Error(diff)
	}
	if measured := s.finder.paces[2]; len(s.finder.paces) != 3 || measured.Took <= 0 || measured.Expected <= 0 {
		t.Errorf("reports %v, want one more with the measured time", s.finder.paces)
	}
}

// A target that reports nonsense is logged once, not with each of its answers.
func TestInvalidPaceIsLoggedOnce(t *testing.T) {
	target := newFakeTarget(t, answer(200, "Pace: 100000\r\n", "x"))
	s := newSetup(t, newRoute(nil), target)
	var out bytes.Buffer
	s.handler.Logger = log.NewSyncLogger(log.NewLogfmtLogger(&out))
	for range 3 {
		s.call(t, "GET", "/", "")
	}
	if got := strings.Count(out.String(), "invalid pace"); got != 1 {
		t.Errorf("%d lines about the invalid pace, want 1", got)
	}
	s.finder.mu.Lock()
	defer s.finder.mu.Unlock()
	for _, r := range s.finder.paces {
		if r.Reported != 0 {
			t.Errorf("invalid pace %v was reported", r.Reported)
		}
	}
}

// Answers whose time says nothing about their target are not measured.
func TestOnlyComparableAnswersAreMeasured(t *testing.T) {
	served := result{ended: true, complete: true, reason: Served, status: 200}
	failed, cut := served, served
	failed.status, cut.complete = 404, false
	plain, stream := newRoute(nil), newRoute(func(r *match.Route) { r.Stream = true })
	for _, c := range []struct {
		name string
		job  job
		end  result
		want bool
	}{
		{"whole answer", job{route: &plain, sends: 1}, served, true},
		{"whole stream", job{route: &stream, sends: 1, headSent: true}, served, true},
		{"failure", job{route: &plain, sends: 1}, failed, false},
		{"broken answer", job{route: &plain, sends: 1}, cut, false},
		{"second attempt", job{route: &stream, sends: 2, headSent: true}, served, false},
		{"unbuffered answer", job{route: &plain, sends: 1, headSent: true}, served, false},
	} {
		if got := c.job.comparable(c.end); got != c.want {
			t.Errorf("%s: comparable is %v", c.name, got)
		}
	}
}

// An answer is timely if its first byte and all its events are.
func TestTimelyAnswers(t *testing.T) {
	r := newRoute(func(r *match.Route) { r.Stream = true })
	for _, c := range []struct {
		first, gap time.Duration
		want       bool
	}{
		{90 * time.Millisecond, 40 * time.Millisecond, true},
		{110 * time.Millisecond, 40 * time.Millisecond, false},
		{90 * time.Millisecond, 60 * time.Millisecond, false},
	} {
		j := &job{route: &r, first: c.first, progress: progress{longestGap: c.gap}}
		if got := j.timely(); got != c.want {
			t.Errorf("first byte after %v, pause of %v: timely is %v", c.first, c.gap, got)
		}
	}
}
