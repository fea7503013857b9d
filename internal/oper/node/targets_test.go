package node

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
)

// plainRows is a fake decoder of rows whose value is a target's start time as one letter, or "?"
// for an invalid row.
type plainRows struct{ Rows }

func (plainRows) Target(row table.Row) (Target, error) {
	if string(row.Value) == "?" {
		return Target{}, fault.New("node.test", BadRow, nil)
	}
	incarnation := ident.Incarnation(row.Value[0])
	return Target{Box: boxes.Box{ID: string(row.Key), Addr: "at " + string(row.Key), State: boxes.Live, Incarnation: incarnation}}, nil
}

// rowsOf returns rows from pairs of keys and values, with the given version.
func rowsOf(version table.Version, keysAndValues ...string) []table.Row {
	var out []table.Row
	for i := 0; i < len(keysAndValues); i += 2 {
		out = append(out, table.Row{Key: table.Key(keysAndValues[i]), Value: []byte(keysAndValues[i+1]), Version: version})
	}
	return out
}

// incarnations returns the incarnations of all targets.
func incarnations(s *state) map[string]ident.Incarnation {
	out := map[string]ident.Incarnation{}
	for key, r := range s.targetRows {
		if r.valid() {
			out[string(key)] = r.target.Incarnation
		}
	}
	return out
}

// setAllTargets updates the state with a full list of rows, and returns the addresses of restarted
// targets.
func setAllTargets(s *state, rows []table.Row) []string {
	change := feed.Change{Rows: rows}
	for key, r := range s.targetRows {
		present := slices.ContainsFunc(rows, func(row table.Row) bool { return row.Key == key })
		if r.removedAt.IsZero() && !present {
			change.Removed = append(change.Removed, key)
		}
	}
	_, restarted := s.updateTargets(change)
	return restarted
}

// A target that restarts under the same name gets a new incarnation, above the previous one even if
// its clock was set back. Its address is returned so that old connections can be closed.
func TestTargetRestarts(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newState(plainRows{}, log.NewNopLogger(), func() time.Time { return now })
	for i, step := range []struct {
		name      string
		rows      []table.Row
		want      map[string]ident.Incarnation
		restarted []string
	}{
		{"first", rowsOf(1, "x", "m", "y", "m"), map[string]ident.Incarnation{"x": 'm', "y": 'm'}, nil},
		{"restarted", append(rowsOf(1, "y", "m"), rowsOf(2, "x", "p")...), map[string]ident.Incarnation{"x": 'p', "y": 'm'}, []string{"at x"}},
		{"same row rewritten", append(rowsOf(1, "y", "m"), rowsOf(3, "x", "p")...), map[string]ident.Incarnation{"x": 'p', "y": 'm'}, nil},
		{"clock set back", append(rowsOf(1, "y", "m"), rowsOf(4, "x", "a")...), map[string]ident.Incarnation{"x": 'q', "y": 'm'}, []string{"at x"}},
		{"same row rewritten", append(rowsOf(1, "y", "m"), rowsOf(5, "x", "a")...), map[string]ident.Incarnation{"x": 'q', "y": 'm'}, nil},
		{"removed", rowsOf(1, "y", "m"), map[string]ident.Incarnation{"y": 'm'}, nil},
		{"added again with an earlier time", append(rowsOf(1, "y", "m"), rowsOf(6, "x", "b")...), map[string]ident.Incarnation{"x": 'r', "y": 'm'}, nil},
		{"invalid row", append(rowsOf(1, "y", "m"), rowsOf(7, "x", "?")...), map[string]ident.Incarnation{"y": 'm'}, nil},
		{"valid row again", append(rowsOf(1, "y", "m"), rowsOf(8, "x", "b")...), map[string]ident.Incarnation{"x": 'r', "y": 'm'}, nil},
	} {
		restarted := setAllTargets(s, step.rows)
		if diff := cmp.Diff(step.want, incarnations(s)); diff != "" {
			t.Errorf("step %d, %s: %s", i, step.name, diff)
		}
		if diff := cmp.Diff(step.restarted, restarted); diff != "" {
			t.Errorf("step %d, %s, restarted targets: %s", i, step.name, diff)
		}
	}
	setAllTargets(s, nil)
	now = now.Add(removedRowTTL)
	setAllTargets(s, nil)
	if diff := cmp.Diff(0, len(s.targetRows)); diff != "" {
		t.Errorf("removed rows are not evicted: %s", diff)
	}
}

// An invalid row is logged once, however often the table is read.
func TestInvalidRowIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	s := newState(plainRows{}, log.NewJSONLogger(&out), time.Now)
	for range 3 {
		setAllTargets(s, append(rowsOf(1, "x", "?"), rowsOf(2, "y", "m")...))
	}
	if diff := cmp.Diff(1, strings.Count(out.String(), "invalid target row")); diff != "" {
		t.Errorf("log lines about the row: %s", diff)
	}
	setAllTargets(s, rowsOf(3, "x", "?"))
	if diff := cmp.Diff(2, strings.Count(out.String(), "invalid target row")); diff != "" {
		t.Errorf("log lines after another write: %s", diff)
	}
}

// The cost of a change of one target must not grow with the number of targets. Half of 10,000
// targets may be replaced within 20 s, on routers with a fifth of a core.
func TestTargetUpdateCostIsIndependentOfFleetSize(t *testing.T) {
	perChange := func(targets int) float64 {
		s := newState(plainRows{}, log.NewNopLogger(), time.Now)
		var keysAndValues []string
		for i := range targets {
			keysAndValues = append(keysAndValues, strconv.Itoa(i), "m")
		}
		s.updateTargets(feed.Change{Rows: rowsOf(1, keysAndValues...)})
		version := table.Version(1)
		return testing.AllocsPerRun(20, func() {
			version++
			s.updateTargets(feed.Change{Rows: rowsOf(version, "7", "n")})
		})
	}
	if small, large := perChange(100), perChange(10_000); large > small {
		t.Errorf("%v allocations per change with 10,000 targets, want at most the %v with 100", large, small)
	}
}
