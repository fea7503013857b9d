package table

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

// A response is assigned to the era in its header, also if it was in flight while the era changed. A
// response with no valid era, or with an era that ended before the call started, is assigned
// to the latest era.
func TestEraOfResponses(t *testing.T) {
	var logs bytes.Buffer
	e := NewEras(log.NewJSONLogger(&logs))
	var changes, before []Era
	e.OnChange(func(era, _ Era) { changes = append(changes, era) })
	e.OnChange(func(_, was Era) { before = append(before, was) })
	for _, step := range []struct {
		name     string
		header   string
		startEra Era
		want     Era
	}{
		{"missing before the first", "", 0, 0},
		{"first era", "1", 0, 1},
		{"same era", "1", 1, 1},
		{"later era", "2", 1, 2},
		{"in flight since the previous era", "1", 1, 1},
		{"lower than at the start of the call", "1", 2, 2},
		{"missing", "", 2, 2},
		{"missing again", "", 2, 2},
		{"not a number", "two", 2, 2},
		{"negative", "-3", 2, 2},
		{"skips eras", "5", 2, 5},
	} {
		if got := e.EraOf(step.header, step.startEra); got != step.want {
			t.Errorf("%s: era %d, want %d", step.name, got, step.want)
		}
	}
	e.AdvanceTo(4)
	e.AdvanceTo(7)
	if diff := cmp.Diff([][]Era{{1, 2, 5, 7}, {0, 1, 2, 5}}, [][]Era{changes, before}); diff != "" {
		t.Errorf("eras passed to the callbacks: %s", diff)
	}
	if diff := cmp.Diff(7, int(e.CurrentEra())); diff != "" {
		t.Error(diff)
	}
	// Logged once each: missing before the first era, lower, missing, not a number and negative.
	if diff := cmp.Diff(5, strings.Count(logs.String(), "without a valid era")); diff != "" {
		t.Errorf("log lines about invalid eras: %s", diff)
	}
}

// Positions are ordered by era first and version second, and so are their fencing tokens.
func TestPositionOrder(t *testing.T) {
	order := []Position{{}, {Version: 7}, {Era: 1}, {Era: 1, Version: 36}, {Era: 2, Version: 32}, {Era: 2, Version: 33}, {Era: 5, Version: 1}}
	for i, a := range order {
		for j, b := range order {
			if diff := cmp.Diff([]bool{i < j, i < j}, []bool{a.Before(b), a.Fence() < b.Fence()}); diff != "" {
				t.Errorf("%v and %v: %s", a, b, diff)
			}
		}
	}
}
