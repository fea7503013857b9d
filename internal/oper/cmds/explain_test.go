package cmds_test

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/oper/cmds"
	"valescale/internal/oper/trace"
)

const logLines = `{"ts":"2026-12-02T10:00:00Z","router":"a","msg":"request","request":"r1","route":"chat","reason":"overloaded","status":503}
{"ts":"2026-12-02T10:00:01Z","router":"a","msg":"request","request":"r2","route":"chat","reason":"served","status":200,"first_ms":700}
`

func TestExplain(t *testing.T) {
	log := write(t, logLines)
	out, status := run(t, "explain", "--request", "r1", log)
	if status != cmds.ExitSuccess || !strings.Contains(out, "reason=overloaded") {
		t.Errorf("status %d: %s", status, out)
	}
	if out, status := run(t, "explain", "--request", "r9", log); status != cmds.ExitFailure {
		t.Errorf("explain of an unknown request: status %d: %s", status, out)
	}
	plot := filepath.Join(t.TempDir(), "goodput.png")
	out, status = run(t, "explain", "--json", "--weight", "chat:4.3", "--objective", "chat:600ms", "--plot", plot, log)
	if status != cmds.ExitSuccess {
		t.Fatalf("status %d: %s", status, out)
	}
	var losses trace.Losses
	if err := json.Unmarshal([]byte(out), &losses); err != nil {
		t.Fatal(err)
	}
	want := []trace.Row{{Key: "late_target", Ended: 1, Lost: 1, Worth: 4.3}, {Key: "overloaded", Ended: 1, Lost: 1, Worth: 4.3}}
	if diff := cmp.Diff(want, losses.Causes); diff != "" {
		t.Error(diff)
	}
	if out, _ := run(t, "explain", log); !strings.Contains(out, "2 requests ended, 1 lost") {
		t.Error(out)
	}
	if out, status := run(t, "explain", filepath.Join(t.TempDir(), "none")); status != cmds.ExitFailure {
		t.Errorf("explain of a missing file: status %d: %s", status, out)
	}
}
