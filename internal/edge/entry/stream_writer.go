package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callerPatience is how long a caller may take in nothing of what is written to it. Callers give up after
	// a pause of two seconds themselves; targets cut off what stays unread a few seconds longer.
	callerWriteTimeout = 5 * time.Second
	// mostUnread bounds what waits for one caller, in bytes: many times a stream of chat.
	maxUnreadPerCaller = 256 << 10
	// mostHeld bounds what waits for all callers of a box, in bytes, a tenth of the smallest boxes' memory.
	maxUnreadTotal = 16 << 20
)

// smallAnswer is what a connection's own buffers hold in any case, in bytes: nobody waits for it to be read.
const minDeadlineWrite = 4 << 10

// writeWhole writes bytes to a caller, who may not read, and leaves the connection as it was.
func writeAll(w http.ResponseWriter, b []byte) error {
	if len(b) < minDeadlineWrite {
		_, err := w.Write(b)
		return err
	}
	control := http.NewResponseController(w)
	if err := writeWithDeadline(control, w, b); err != nil {
		return err
	}
	return control.SetWriteDeadline(time.Time{})
}

// push writes bytes to a caller, who has a while to take them in.
func writeWithDeadline(control *http.ResponseController, w http.ResponseWriter, b []byte) error {
	if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	return control.Flush()
}

// outbox passes a stream on to a caller, who may read slowly or not at all. What a target has made waits here instead
// of there: a target cuts off answers that stay unread, and falls over when it holds too many. What waits is
// bounded for each caller and for all of a box together.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// held is what waits in all outboxes of the box, in bytes.
	total *atomic.Int64

	mu      sync.Mutex
	pending []byte
	// writing is set while a goroutine writes; written is signalled when it has written all.
	writing bool
	idle    *sync.Cond
	// failed is set once the caller takes nothing more.
	failed bool
}

// newOutbox returns an empty outbox, which must be closed before its caller's request ends.
func newStreamWriter(w http.ResponseWriter, total *atomic.Int64) *streamWriter {
	s := &streamWriter{w: w, control: http.NewResponseController(w), total: total}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// send puts bytes behind those that wait. It does not wait itself, and reports whether the caller is there and
// reads fast enough.
func (s *streamWriter) enqueue(b []byte) (connected, hasRoom bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return false, true
	}
	if len(s.pending)+len(b) > maxUnreadPerCaller || s.total.Load()+int64(len(b)) > maxUnreadTotal {
		return true, false
	}
	s.total.Add(int64(len(b)))
	s.pending = append(s.pending, b...)
	if !s.writing {
		s.writing = true
		go s.flush()
	}
	return true, true
}

// write writes what waits until nothing does.
func (s *streamWriter) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !s.failed {
		next := s.pending
		s.pending = nil
		s.mu.Unlock()
		err := writeWithDeadline(s.control, s.w, next)
		s.total.Add(-int64(len(next)))
		s.mu.Lock()
		s.failed = s.failed || err != nil
	}
	s.writing = false
	s.idle.Broadcast()
}

// finish waits until the caller has taken all, and reports whether it has.
func (s *streamWriter) wait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.idle.Wait()
	}
	return !s.failed
}

// abandon gives up what still waits, and what is being written.
func (s *streamWriter) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	// On a connection that has ended nothing is being written.
	_ = s.control.SetWriteDeadline(time.Now())
}

// close frees the outbox. The connection may serve other requests after it.
func (s *streamWriter) close() {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.Add(-int64(len(s.pending)))
	s.pending = nil
	if !s.failed {
		// A connection that cannot be given its time back has ended.
		_ = s.control.SetWriteDeadline(time.Time{})
	}
}
