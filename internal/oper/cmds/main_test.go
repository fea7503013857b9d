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

// run runs a command line and returns what it printed and its exit status.
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

const first = `
[service judge]
kind = engine
[policy runs]
service = "judge"
[workspace bogota]
policy = runs
`

func TestOperatorsDay(t *testing.T) {
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
	file := write(t, first)
	second := write(t, strings.Replace(first, "kind = engine", "kind = engine\nslots = 3", 1))
	broken := write(t, strings.Replace(first, `"judge"`, `"jugde"`, 1))
	steps := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"wrong mistakes", []string{"check", broken}, cmds.Mistakes, `gives "jugde", which does not exist`},
		{"check", []string{"check", file}, cmds.Success, "3 documents are right"},
		{"offline", []string{"check", "--offline", broken}, cmds.Mistakes, "jugde"},
		{"apply mistakes", []string{"apply", broken}, cmds.Mistakes, "nothing was changed"},
		{"apply", []string{"apply", "--note", "first", file}, cmds.Success, "revision 1 is in force on every router"},
		{"apply again", []string{"apply", file}, cmds.Success, "nothing differs"},
		{"diff", []string{"diff", second}, cmds.Differs, "+ slots = 3"},
		{"shadow", []string{"shadow", second}, cmds.Success, "0 of 0 decisions differ"},
		{"apply second", []string{"apply", "--json", second}, cmds.Success, `"revision":2`},
		{"conflict", []string{"apply", "--base", "1", file}, cmds.Conflicted, "- slots = 3"},
		{"show", []string{"show", "service", "judge"}, cmds.Success, "slots = 3"},
		{"history", []string{"history"}, cmds.Success, "ana"},
		{"audit", []string{"audit"}, cmds.Success, "+ slots = 3"},
		{"status", []string{"status", "--json"}, cmds.Success, `"revision":"2"`},
		{"no claim", []string{"claim", "bogota", "nothing"}, cmds.Failure, "there is no claim"},
		{"prune", []string{"diff", "--prune", write(t, "[service other]\nkind = plain\n")}, cmds.Differs, "- policy = runs"},
		{"no file", []string{"apply", "/nonexistent.ini"}, cmds.Mistakes, "nonexistent"},
		{"usage", []string{"apply"}, cmds.Usage, "required"},
		{"settings", []string{"settings"}, cmds.Success, "## [router]"},
		{"man", []string{"man"}, cmds.Success, ".TH valescale"},
	}
	for _, s := range steps {
		out, status := run(t, s.args...)
		if status != s.status || !strings.Contains(out, s.want) {
			t.Errorf("%s: status %d, want %d with %q:\n%s", s.name, status, s.status, s.want, out)
		}
	}
	t.Setenv("VALESCALE_TOKEN", "wrong")
	if out, status := run(t, "show"); status != cmds.Failure || !strings.Contains(out, "no known operator") {
		t.Errorf("a wrong token: status %d\n%s", status, out)
	}
}
