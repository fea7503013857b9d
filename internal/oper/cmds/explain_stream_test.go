package cmds_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/oper/cmds"
	"valescale/internal/oper/trace"
)

const streamLines = `{"ts":"2026-12-02T10:00:03Z","router":"c","msg":"request","request":"again-2","reason":"no_target","status":503,"target":"","last_event":"3","resumes":"begun","origin":"peer","origin_version":"v1","origin_from":"a","asked":5,"answered":2}
{"ts":"2026-12-02T10:00:02Z","router":"b","msg":"request","request":"again-1","reason":"served","status":200,"target":"t1","target_version":"v1","last_event":"3","resumes":"begun","origin":"own","origin_version":"v1","ending":"unmarked","events":5}
{"ts":"2026-12-02T10:00:01Z","router":"a","msg":"request","request":"begun","reason":"answer_cut_off","target":"t1","target_version":"v1","ending":"broken","events":3}
{"ts":"2026-12-02T10:00:04Z","router":"b","msg":"request","request":"lost","reason":"unknown_origin","status":503,"target":"","last_event":"8","resumes":"again-1","origin":"unknown","asked":5,"answered":5}
`

const wantStream = `
stream that began with request begun, version v1:
2026-12-02T10:00:01Z a begun  began; target=t1 target_version=v1 events=3 ending=broken reason=answer_cut_off status=0
2026-12-02T10:00:02Z b again-1  resumes begun after event 3, origin=own origin_version=v1 asked=0 answered=0; target=t1 target_version=v1 events=5 ending=unmarked reason=served status=200
2026-12-02T10:00:03Z c again-2  resumes begun after event 3, origin=peer origin_version=v1 origin_from=a asked=5 answered=2; rejected: reason=no_target status=503
`

// Guards against an explanation of a resumed stream without the version that began it and the router that
// had that version.
func TestExplainStream(t *testing.T) {
	log := write(t, streamLines)
	for _, request := range []string{"begun", "again-1", "again-2"} {
		out, status := run(t, "explain", "--request", request, log)
		if status != cmds.ExitSuccess || !strings.HasSuffix(out, wantStream) {
			t.Errorf("request %s, status %d:\n%s", request, status, out)
		}
	}
	out, _ := run(t, "explain", "--request", "lost", log)
	for _, want := range []string{
		"stream that began with request again-1, version unknown:", "request again-1 did not begin the stream, it resumes begun",
		"origin=unknown asked=5 answered=5; rejected: reason=unknown_origin status=503",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing:\n%s", want, out)
		}
	}
	out, _ = run(t, "explain", "--json", "--request", "again-2", log)
	var got struct {
		Stream trace.Stream `json:"stream"`
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	if got.Stream.Began != "begun" || len(got.Stream.Requests) != 3 {
		t.Errorf("stream %+v, want three requests", got.Stream)
	}
}

// writePipe returns the reading end of a pipe that contains log lines and then ends.
func writePipe(t *testing.T, lines string) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	if _, err := w.WriteString(lines); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a stream that is not shown because its log comes through a pipe, which can be read once.
func TestExplainStreamFromPipe(t *testing.T) {
	temporary := t.TempDir()
	t.Setenv("TMPDIR", temporary)
	stdin := os.Stdin
	os.Stdin = writePipe(t, streamLines+"not a line\n")
	t.Cleanup(func() { os.Stdin = stdin })
	out, status := run(t, "explain", "--request", "again-2")
	if status != cmds.ExitSuccess || !strings.Contains(out, wantStream) || !strings.Contains(out, "standard input:5: no JSON object") {
		t.Errorf("status %d:\n%s", status, out)
	}
	left, err := os.ReadDir(temporary)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(0, len(left)); diff != "" {
		t.Errorf("files left: %s", diff)
	}
}

// Guards against a command that hangs, or shows an empty stream, for a log from a named pipe, as a shell's
// process substitution gives it.
func TestExplainStreamFromNamedPipe(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	name := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() { written <- os.WriteFile(name, []byte(streamLines), 0) }()
	out, status := run(t, "explain", "--request", "again-2", name)
	if status != cmds.ExitSuccess || !strings.HasSuffix(out, wantStream) {
		t.Errorf("status %d:\n%s", status, out)
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}

func TestExplainCountsStreamsWithoutMarkedEnd(t *testing.T) {
	out, status := run(t, "explain", write(t, streamLines))
	if status != cmds.ExitSuccess || !strings.Contains(out, "1 streams not counted as lost ended without a marked end") {
		t.Errorf("status %d:\n%s", status, out)
	}
}
