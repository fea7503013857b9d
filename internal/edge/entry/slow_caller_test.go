package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/listen"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/match"
)

// blockedWriter is a caller's connection that accepts no data until it is unblocked.
type blockedWriter struct {
	header  http.Header
	mu      sync.Mutex
	written bytes.Buffer
	unblock chan struct{}
	// deadline is closed when the current write deadline expires.
	deadline chan struct{}
	once     sync.Once
	timer    *time.Timer
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{header: http.Header{}, unblock: make(chan struct{}), deadline: make(chan struct{})}
}

func (w *blockedWriter) Header() http.Header { return w.header }
func (w *blockedWriter) WriteHeader(int)     {}
func (w *blockedWriter) FlushError() error   { return nil }

func (w *blockedWriter) SetWriteDeadline(at time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	if !at.IsZero() {
		w.timer = time.AfterFunc(time.Until(at), func() { w.once.Do(func() { close(w.deadline) }) })
	}
	return nil
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	select {
	case <-w.unblock:
	case <-w.deadline:
		return 0, os.ErrDeadlineExceeded
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// serveTo starts serving a request and returns a channel that is closed at its end.
func (s *setup) serveTo(t *testing.T, w http.ResponseWriter) <-chan struct{} {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), "GET", "/x", nil)
	r.Host = "h"
	r.Header.Set("Id", "caller-1")
	r.Header.Set("Key", "k")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				t.Errorf("panic: %v", v)
			}
		}()
		s.handler.ServeHTTP(w, r)
	}()
	return ended
}

// newStreamingTarget returns a target with small socket buffers that sends streams of events.
func newStreamingTarget(t *testing.T, count, size int) (target *fakeTarget, written <-chan struct{}) {
	t.Helper()
	done := make(chan struct{}, 1000)
	out := &fakeTarget{closed: make(chan struct{}, 1000)}
	data := strings.Repeat("x", size)
	out.addr = listen.Conns(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetWriteBuffer(1 << 10)
		out.serve(c, func(w *bufio.Writer, r *http.Request) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			for i := range count {
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
				if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
					return false
				}
			}
			_, _ = w.WriteString("0\r\n\r\n")
			if w.Flush() != nil {
				return false
			}
			done <- struct{}{}
			return true
		})
	})
	return out, done
}

func streamRoute(r *match.Route) {
	r.Stream, r.Timeout, r.Objective = true, time.Minute, 10*time.Second
}

// The stream of a slow caller must be buffered at the router. A target that holds its data cuts
// off answers that stay unread for some seconds, and crashes when it holds too many. The caller
// gets the complete stream once it reads.
func TestStreamBufferedForSlowCaller(t *testing.T) {
	const count = 250
	target, sent := newStreamingTarget(t, count, 1000)
	s := newSetup(t, newRoute(streamRoute), target)
	caller := newBlockedWriter()
	ended := s.serveTo(t, caller)
	select {
	case <-sent:
	case <-time.After(callerWriteTimeout / 2):
		t.Fatal("the target still holds a part of its answer")
	}
	close(caller.unblock)
	<-ended
	if diff := cmp.Diff(count, strings.Count(caller.written.String(), "id: ")); diff != "" {
		t.Errorf("events that reached the caller: %s", diff)
	}
	if diff := cmp.Diff([]Reason{Served}, s.recorder.reasons); diff != "" {
		t.Error(diff)
	}
}

// 500 callers that read nothing at once must stay within the buffer limits of a caller and of the
// box, end in time, affect no other callers and have no target reported as failed.
func TestCallersThatNeverRead(t *testing.T) {
	const callers = 500
	for _, c := range []struct {
		name  string
		count int
	}{{"streams below the limit", 40}, {"streams above the limit of one caller", 100}} {
		t.Run(c.name, func(t *testing.T) {
			target, _ := newStreamingTarget(t, c.count, 4000)
			s := newSetup(t, newRoute(streamRoute), target)
			var ended []<-chan struct{}
			for i := range callers {
				ended = append(ended, s.serveTo(t, newBlockedWriter()))
				// In the end all callers are connected at once. Limiting the rate keeps the number
				// of simultaneous connects out of this test.
				for target.count() < i-10 {
					<-time.After(time.Millisecond)
				}
			}
			peak := memory.Bytes(0)
			limit := time.After(4 * callerWriteTimeout)
			for _, end := range ended {
				select {
				case <-end:
				case <-limit:
					t.Fatal("the request of a caller that reads nothing has not ended")
				}
				peak = max(peak, s.memory.Usage().ByUse[memory.Streams])
			}
			if peak > testMemory {
				t.Errorf("%d bytes buffered for callers, want at most %d", peak, testMemory)
			}
			if used := s.memory.Usage().Used; used != 0 {
				t.Errorf("%d bytes still counted as buffered", used)
			}
			for _, reason := range s.recorder.reasons {
				if reason != CallerGone && reason != Unread && reason != NoMemory {
					t.Fatalf("a request ended as %s, want %s, %s or %s", reason, CallerGone, Unread, NoMemory)
				}
			}
			for _, report := range s.finder.reports {
				if report != "ok true" {
					t.Fatalf("a target was reported as failed: %s", report)
				}
			}
		})
	}
}
