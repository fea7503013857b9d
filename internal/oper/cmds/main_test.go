package cmds_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
	"valescale/internal/oper/cmds"
	"valescale/internal/oper/conf"
)

// run runs a command line and returns its output, standard error included, and its exit status.
func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	status := cmds.Main(args, &out, &out)
	return out.String(), status
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "documents.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const firstDocuments = `
[service judge]
kind = engine
[policy runs]
service = "judge"
[workspace bogota]
policy = runs
`

func TestOperatorCommands(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fast := 50 * time.Millisecond
	f, stop, err := fleet.New(fleet.Options{
		Routers: 2, Engines: 1, Engine: target.EngineOptions{}, Pace: conf.Pace{Gossip: fast, List: fast, Head: fast, Report: fast},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	if err := f.AwaitReady(ctx, 0); err != nil {
		t.Fatal(err)
	}
	t.Setenv("VALESCALE_TOKEN", fleet.OperatorToken)
	t.Setenv("VALESCALE_ROUTER", f.Routers[0].AdminAddr())
	firstFile := write(t, firstDocuments)
	secondFile := write(t, strings.Replace(firstDocuments, "kind = engine", "kind = engine\nslots = 3", 1))
	brokenFile := write(t, strings.Replace(firstDocuments, `"judge"`, `"jugde"`, 1))
	steps := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"check mistakes", []string{"check", brokenFile}, cmds.ExitInvalid, `gives "jugde", which does not exist`},
		{"check", []string{"check", firstFile}, cmds.ExitSuccess, "3 documents are valid"},
		{"offline", []string{"check", "--offline", brokenFile}, cmds.ExitInvalid, "jugde"},
		{"apply mistakes", []string{"apply", brokenFile}, cmds.ExitInvalid, "nothing was changed"},
		{"apply", []string{"apply", "--note", "first", firstFile}, cmds.ExitSuccess, "revision 1 is in force on every router"},
		{"apply again", []string{"apply", firstFile}, cmds.ExitSuccess, "no differences from revision 1"},
		{"diff", []string{"diff", secondFile}, cmds.ExitDiffers, "+ slots = 3"},
		{"shadow", []string{"shadow", secondFile}, cmds.ExitSuccess, "0 of 0 decisions differ"},
		{"apply second", []string{"apply", "--json", secondFile}, cmds.ExitSuccess, `"revision":2`},
		{"conflict", []string{"apply", "--base", "1", firstFile}, cmds.ExitConflict, "- slots = 3"},
		{"show", []string{"show", "service", "judge"}, cmds.ExitSuccess, "slots = 3"},
		{"history", []string{"history"}, cmds.ExitSuccess, "ana"},
		{"audit", []string{"audit"}, cmds.ExitSuccess, "+ slots = 3"},
		{"status", []string{"status", "--json"}, cmds.ExitSuccess, `"revision":"2"`},
		{"no claim", []string{"claim", "bogota", "nothing"}, cmds.ExitFailure, "there is no claim"},
		{"prune", []string{"diff", "--prune", write(t, "[service other]\nkind = plain\n")}, cmds.ExitDiffers, "- policy = runs"},
		{"no file", []string{"apply", "/nonexistent.ini"}, cmds.ExitInvalid, "nonexistent"},
		{"usage", []string{"apply"}, cmds.ExitUsage, "required"},
		{"settings", []string{"settings"}, cmds.ExitSuccess, "## [router]"},
		{"man", []string{"man"}, cmds.ExitSuccess, ".TH valescale"},
	}
	for _, s := range steps {
		out, status := run(t, s.args...)
		if status != s.status || !strings.Contains(out, s.want) {
			t.Errorf("%s: status %d, want %d with %q:\n%s", s.name, status, s.status, s.want, out)
		}
	}
	t.Setenv("VALESCALE_TOKEN", "wrong")
	if out, status := run(t, "show"); status != cmds.ExitFailure || !strings.Contains(out, "no known operator") {
		t.Errorf("show with an invalid token: status %d\n%s", status, out)
	}
}
