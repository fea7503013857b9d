package telem_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"valescale/internal/oper/telem"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// A blocked log output, such as a full pipe, would block every request that logs a line. Lines
// beyond the queue are dropped and counted instead.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	now := time.Unix(1000, 0)
	w, flush := telem.NewWriter(out, telem.WriterLimits{MaxQueuedLines: 10, LinesPerSecond: 1000, BurstLines: 1000}, func() time.Time { return now })
	for i := range 100 {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped < 80 {
		t.Errorf("dropped %d of 100 lines with a queue of 10, want at least 80", dropped)
	}
	close(out.release)
	flush()
	text := out.written.String()
	if written := strings.Count(text, "line "); uint64(written) != 100-dropped {
		t.Errorf("wrote %d lines and dropped %d of 100", written, dropped)
	}
	if !strings.Contains(text, fmt.Sprintf(`"lines":%d`, dropped)) {
		t.Errorf("no report of the dropped lines in %q", text)
	}
}

func TestWriterLimitsItsRate(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	w, flush := telem.NewWriter(&out, telem.WriterLimits{MaxQueuedLines: 1000, LinesPerSecond: 10, BurstLines: 20}, func() time.Time { return now })
	write := func(n int) {
		for range n {
			_, _ = fmt.Fprintln(w, "line")
		}
	}
	write(50)
	now = now.Add(time.Second)
	write(50)
	flush()
	if lines := strings.Count(out.String(), "line\n"); lines != 30 {
		t.Errorf("wrote %d lines, want 30: 20 at once and 10 after a second", lines)
	}
}
