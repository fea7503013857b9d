package trace

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	routerA = `{"ts":"2026-12-02T10:00:00.1Z","router":"a","level":"info","msg":"attempt failed","request":"r1","target":"t1","step":3,"next":"again"}
{"ts":"2026-12-02T10:00:01Z","router":"a","level":"info","msg":"request","request":"r1","route":"chat","workspace":"w","target":"t2","reason":"served","status":200,"found_ms":3,"first_ms":90}
{"ts":"2026-12-02T10:00:01.5Z","router":"a","level":"info","msg":"request","request":"r2","route":"chat","workspace":"w","target":"","reason":"overloaded","status":503,"found_ms":0,"first_ms":0}
{"ts":"2026-12-02T10:00:02Z","router":"a","level":"info","msg":"ready"}
`
	routerB = `10:00:00 host-b {"ts":"2026-12-02T10:00:00Z","router":"b","level":"info","msg":"request","request":"r1","route":"chat","workspace":"w","target":"t1","reason":"answer_lost","status":502,"found_ms":2,"first_ms":0}
not a line

{"ts":"2026-12-02T10:00:02Z","router":"b","level":"info","msg":"request","request":"r3","route":"plain","workspace":"v","target":"t3","reason":"served","status":200,"found_ms":400,"first_ms":450}
{"ts":"2026-12-02T10:00:02Z","router":"b","level":"info","msg":"request","request":"r4","route":"plain","workspace":"v","target":"t3","reason":"served","status":500,"found_ms":4,"first_ms":9}
{"ts":"2026-12-02T10:00:02Z","router":"b"}
`
)

func logs() []Source {
	return []Source{{"a.log", strings.NewReader(routerA)}, {"b.log", strings.NewReader(routerB)}}
}

var bad = BadLines{Count: 2, First: []BadLine{
	{Source: "b.log", Line: 2, Error: "no JSON object"},
	{Source: "b.log", Line: 6, Error: "no msg"},
}}

func TestTimelineAcrossRouters(t *testing.T) {
	got, err := ReadTimeline(logs(), "r1")
	if err != nil {
		t.Fatal(err)
	}
	at := func(ms int) time.Time { return time.Date(2026, 12, 2, 10, 0, 0, ms*1e6, time.UTC) }
	want := Timeline{Request: "r1", BadLines: bad, Events: []Event{
		{at(0), "b", "request", []string{"first_ms=0", "found_ms=2", "reason=answer_lost", "route=chat", "status=502", "target=t1", "workspace=w"}},
		{at(100), "a", "attempt failed", []string{"next=again", "step=3", "target=t1"}},
		{at(1000), "a", "request", []string{"first_ms=90", "found_ms=3", "reason=served", "route=chat", "status=200", "target=t2", "workspace=w"}},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestLosses(t *testing.T) {
	criteria := Criteria{Weights: map[string]float64{"chat": 2}, Objectives: map[string]time.Duration{"plain": 100 * time.Millisecond}}
	got, err := Summarize(logs(), criteria)
	if err != nil {
		t.Fatal(err)
	}
	first := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC).Unix()
	want := Losses{
		Ended: 5, Lost: 4, Worth: 6, BadLines: bad,
		Causes:     []Row{{"answer_lost", 1, 1, 2}, {"overloaded", 1, 1, 2}, {"late_found", 1, 1, 1}, {"target_failed", 1, 1, 1}},
		Routes:     []Row{{"chat", 3, 2, 4}, {"plain", 2, 2, 2}},
		Workspaces: []Row{{"w", 3, 2, 4}, {"v", 2, 2, 2}},
		Routers:    []Row{{"b", 3, 3, 4}, {"a", 2, 1, 2}},
		Targets:    []Row{{"", 1, 1, 2}, {"t1", 1, 1, 2}, {"t3", 2, 2, 2}},
		Seconds:    []Second{{first, 0, 1}, {first + 1, 1, 1}, {first + 2, 0, 2}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := got.Plot(filepath.Join(t.TempDir(), "goodput.svg")); err != nil {
		t.Error(err)
	}
	if err := (Losses{}).Plot("none.png"); err == nil {
		t.Error("an empty plot was drawn without an error")
	}
}

// Memory would grow with the logs if the number of keys in a table, the events of a timeline or
// the length of a line had no limit.
func TestMemoryIsBounded(t *testing.T) {
	const line = `{"ts":"2026-12-02T10:00:00Z","msg":"request","request":"r","route":"r-%d","reason":"overloaded"}` + "\n"
	var log strings.Builder
	for i := range maxKeys + 10 {
		fmt.Fprintf(&log, line, i)
	}
	log.WriteString(`{"msg":"` + strings.Repeat("x", 2*maxLineBytes) + "\"}\n")
	losses, err := Summarize([]Source{{"long", strings.NewReader(log.String())}}, Criteria{})
	if err != nil {
		t.Fatal(err)
	}
	if len(losses.Routes) != maxKeys+1 || losses.Routes[0].Key != overflowKey || losses.Routes[0].Lost != 10 {
		t.Errorf("got %d rows, the first is %+v", len(losses.Routes), losses.Routes[0])
	}
	if losses.BadLines.Count != 1 {
		t.Errorf("got %d bad lines, want only the line that is too long", losses.BadLines.Count)
	}
	timeline, err := ReadTimeline([]Source{{"long", strings.NewReader(log.String())}}, "r")
	if err != nil || len(timeline.Events) != maxTimelineEvents || timeline.Omitted != maxKeys+10-maxTimelineEvents {
		t.Errorf("got %d events, %d omitted, error %v", len(timeline.Events), timeline.Omitted, err)
	}
}

func TestReadErrorNamesLog(t *testing.T) {
	_, err := Summarize([]Source{{"broken", io.MultiReader(strings.NewReader(routerA), iotest.ErrReader(errors.New("gone")))}}, Criteria{})
	if err == nil || !strings.Contains(err.Error(), "broken") {
		t.Errorf("got %v, want an error with the name of the log", err)
	}
}
