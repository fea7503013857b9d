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

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// A stuck output never holds up who logs; what does not fit is left out and counted.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	now := time.Unix(1000, 0)
	w, flush := telem.NewWriter(out, telem.Volume{Queue: 10, PerSecond: 1000, Burst: 1000}, func() time.Time { return now })
	for i := range 100 {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped < 80 {
		t.Errorf("%d of 100 lines are left out with room for 10", dropped)
	}
	close(out.release)
	flush()
	text := out.got.String()
	if got := strings.Count(text, "line "); uint64(got) != 100-dropped {
		t.Errorf("%d lines are written and %d left out of 100", got, dropped)
	}
	if !strings.Contains(text, fmt.Sprintf(`"lines":%d`, dropped)) {
		t.Errorf("the lines left out are not told of in %q", text)
	}
}

func TestWriterBoundsItsRate(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	w, flush := telem.NewWriter(&out, telem.Volume{Queue: 1000, PerSecond: 10, Burst: 20}, func() time.Time { return now })
	write := func(n int) {
		for range n {
			_, _ = fmt.Fprintln(w, "line")
		}
	}
	write(50)
	now = now.Add(time.Second)
	write(50)
	flush()
	if got := strings.Count(out.String(), "line\n"); got != 30 {
		t.Errorf("%d lines are written, want 20 at once and 10 after a second", got)
	}
}
