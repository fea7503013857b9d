package entry

import (
	"net/http"
	"sync"
	"time"

	"valescale/internal/plat/memory"
)

const (
	// callerWriteTimeout is how long a write to a caller may make no progress. Callers themselves
	// time out after a pause of two seconds; targets cut off unread answers a few seconds later.
	callerWriteTimeout = 5 * time.Second
	// maxUnreadPerCaller is the maximum number of bytes buffered for one caller, many times the
	// size of a chat stream.
	maxUnreadPerCaller = 256 << 10
)

// minDeadlineWrite is the size in bytes from which a write needs a deadline. Shorter answers fit
// into the buffers of the connection, so that the write does not block.
const minDeadlineWrite = 4 << 10

// writeAll writes the parts of an answer to a caller that may not read, and resets the write deadline.
func writeAll(w http.ResponseWriter, parts ...[]byte) error {
	control := http.NewResponseController(w)
	for _, part := range parts {
		if len(part) < minDeadlineWrite {
			if _, err := w.Write(part); err != nil {
				return err
			}
			continue
		}
		if err := writeWithDeadline(control, w, part); err != nil {
			return err
		}
		if err := control.SetWriteDeadline(time.Time{}); err != nil {
			return err
		}
	}
	return nil
}

// writeWithDeadline writes and flushes bytes with a deadline of callerWriteTimeout.
func writeWithDeadline(control *http.ResponseController, w http.ResponseWriter, b []byte) error {
	if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	return control.Flush()
}

// streamWriter writes a stream asynchronously to a caller that may read slowly or not at all. Data
// is buffered here instead of at the target: a target cuts off answers that stay unread, and
// crashes when it holds too many. The buffered size is limited for each caller and for all callers
// of a box together.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// reserved is the memory of the buffered data.
	reserved *memory.Reservation

	mu      sync.Mutex
	pending []byte
	// writing is set while a goroutine writes. It signals idle when it has written everything.
	writing bool
	idle    *sync.Cond
	// failed is set once the caller accepts no more data.
	failed bool
}

// newStreamWriter returns an empty writer. It must be closed before the request ends.
func newStreamWriter(w http.ResponseWriter, reserved *memory.Reservation) *streamWriter {
	s := &streamWriter{w: w, control: http.NewResponseController(w), reserved: reserved}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// enqueue appends bytes to the pending data without blocking. It returns the reason for which the stream ends if
// the caller has disconnected or does not read, or if the box has no memory, and an empty reason otherwise.
func (s *streamWriter) enqueue(b []byte) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failed:
		return CallerGone
	case len(s.pending)+len(b) > maxUnreadPerCaller:
		return Unread
	case !s.reserved.Grow(memory.Bytes(len(b))):
		return NoMemory
	}
	s.pending = append(s.pending, b...)
	if !s.writing {
		s.writing = true
		go s.flush()
	}
	return ""
}

// flush writes the pending data until none is left.
func (s *streamWriter) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !s.failed {
		next := s.pending
		s.pending = nil
		s.mu.Unlock()
		err := writeWithDeadline(s.control, s.w, next)
		s.reserved.Shrink(memory.Bytes(len(next)))
		s.mu.Lock()
		s.failed = s.failed || err != nil
	}
	s.writing = false
	s.idle.Broadcast()
}

// wait waits until all data is written, and reports whether all writes succeeded.
func (s *streamWriter) wait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.idle.Wait()
	}
	return !s.failed
}

// abort discards the pending data and interrupts the current write.
func (s *streamWriter) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	// On a closed connection there is no write to interrupt.
	_ = s.control.SetWriteDeadline(time.Now())
}

// close releases the buffer and resets the connection, which may serve further requests.
func (s *streamWriter) close() {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved.Close()
	s.pending = nil
	if !s.failed {
		// Resetting the deadline fails only on a closed connection.
		_ = s.control.SetWriteDeadline(time.Time{})
	}
}
