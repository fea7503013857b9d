package trace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	streamA = `{"ts":"2026-12-02T10:00:03Z","router":"a","msg":"request","request":"again-2","reason":"no_target","status":503,"target":"","target_version":"","last_event":"3","resumes":"begun","origin":"own","origin_version":"v1","origin_from":"","asked":0,"answered":0,"ending":"","events":0}
{"ts":"2026-12-02T10:00:01Z","router":"a","msg":"request","request":"begun","reason":"answer_cut_off","status":0,"target":"t1","target_version":"v1","last_event":"","resumes":"","origin":"","origin_version":"","origin_from":"","asked":0,"answered":0,"ending":"broken","events":3}
`
	streamB = `{"ts":"2026-12-02T10:00:01.5Z","router":"b","msg":"attempt failed","request":"again-1","target":"t2","target_version":"v1","ending":"broken","events":0}
{"ts":"2026-12-02T10:00:02Z","router":"b","msg":"request","request":"again-1","reason":"answer_cut_off","status":0,"target":"t1","target_version":"v1","last_event":"3","resumes":"begun","origin":"peer","origin_version":"v1","origin_from":"a","asked":5,"answered":2,"ending":"broken","events":2}
{"ts":"2026-12-02T10:00:04Z","router":"b","msg":"request","request":"lost","reason":"unknown_origin","status":503,"target":"","target_version":"","last_event":"5","resumes":"again-1","origin":"unknown","origin_version":"","origin_from":"","asked":5,"answered":5,"ending":"","events":0}
{"ts":"2026-12-02T10:00:05Z","router":"b","msg":"request","request":"other","reason":"served","status":200,"target":"t9","target_version":"v2","last_event":"","resumes":"","origin":"","origin_version":"","origin_from":"","asked":0,"answered":0,"ending":"unmarked","events":4}
`
)

func streamLogs() []Source {
	return []Source{{"a.log", strings.NewReader(streamA)}, {"b.log", strings.NewReader(streamB)}}
}

// Guards against a resumed stream of which only one request is shown, so that neither its version nor the
// router that had it can be determined.
func TestStreamAcrossRequests(t *testing.T) {
	got, err := ReadStream(streamLogs(), "begun")
	if err != nil {
		t.Fatal(err)
	}
	at := func(s int) time.Time { return time.Date(2026, 12, 2, 10, 0, s, 0, time.UTC) }
	want := Stream{Began: "begun", Version: "v1", Requests: []StreamRequest{
		{Time: at(1), Router: "a", Request: "begun", Target: "t1", TargetVersion: "v1", Reason: "answer_cut_off", Ending: "broken", Events: 3},
		{
			Time: at(2), Router: "b", Request: "again-1", Resumes: "begun", LastEvent: "3", Origin: "peer", OriginVersion: "v1", OriginFrom: "a",
			Asked: 5, Answered: 2, Target: "t1", TargetVersion: "v1", Reason: "answer_cut_off", Ending: "broken", Events: 2,
		},
		{Time: at(3), Router: "a", Request: "again-2", Resumes: "begun", LastEvent: "3", Origin: "own", OriginVersion: "v1", Reason: "no_target", Status: 503},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestTimelineNamesStream(t *testing.T) {
	for _, c := range []struct{ request, want RequestID }{
		{"begun", "begun"}, {"again-1", "begun"}, {"again-2", "begun"}, {"lost", "again-1"}, {"other", ""},
	} {
		got, err := ReadTimeline(streamLogs(), c.request)
		if err != nil || got.Stream != c.want {
			t.Errorf("request %s: stream %q, error %v, want %q", c.request, got.Stream, err, c.want)
		}
	}
}

// Guards against a version that is shown as the one that began the stream although that is unknown.
func TestVersionAtStartOfStream(t *testing.T) {
	for _, c := range []struct {
		name, log, want string
		began           RequestID
	}{
		{"the beginning has a log line", streamA, "v1", "begun"},
		{"the router of the beginning ended before it logged", streamB, "v1", "begun"},
		{"the request named did not begin the stream", streamB, "", "again-1"},
		{"no line", "", "", "begun"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ReadStream([]Source{{"log", strings.NewReader(c.log)}}, c.began)
			if err != nil || got.Version != c.want {
				t.Errorf("version %q, error %v, want %q", got.Version, err, c.want)
			}
		})
	}
}

// Guards against a summary that hides streams that were rejected for their unknown origin among others, or
// counts streams without a marked end as if they were known to be complete.
func TestLossesOfStreams(t *testing.T) {
	got, err := Summarize(streamLogs(), Criteria{})
	if err != nil {
		t.Fatal(err)
	}
	if got.UnmarkedStreams != 1 {
		t.Errorf("%d streams without a marked end, want 1", got.UnmarkedStreams)
	}
	want := []Row{{"answer_cut_off", 2, 2, 2}, {"no_target", 1, 1, 1}, {"unknown_origin", 1, 1, 1}}
	if diff := cmp.Diff(want, got.Causes); diff != "" {
		t.Error(diff)
	}
}

// Guards against memory that grows with the number of requests that resume one stream.
func TestStreamIsBounded(t *testing.T) {
	const line = `{"ts":"2026-12-02T10:00:00Z","msg":"request","request":"r-%d","resumes":"begun","reason":"unknown_origin"}` + "\n"
	var log strings.Builder
	for i := range maxStreamRequests + 7 {
		fmt.Fprintf(&log, line, i)
	}
	got, err := ReadStream([]Source{{"long", strings.NewReader(log.String())}}, "begun")
	if err != nil || len(got.Requests) != maxStreamRequests || got.Omitted != 7 {
		t.Errorf("%d requests, %d omitted, error %v", len(got.Requests), got.Omitted, err)
	}
}
