package entry

import (
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// callerWriteTimeout is how long a write to a caller may make no progress. Callers themselves
	// time out after a pause of two seconds; targets cut off unread answers a few seconds later.
	callerWriteTimeout = 5 * time.Second
	// looksPerTimeout is how often it is looked for progress within this time. Most writes end before the first look.
	looksPerTimeout = 10
	// maxWriteSize is the maximum size in bytes of one write to a caller.
	maxWriteSize = 16 << 10
	// minWatchedWrite is the size in bytes from which a write of an answer is watched. Shorter answers fit
	// into the buffers of the connection, so that the write does not block.
	minWatchedWrite = 4 << 10
)

// output writes to a caller that may read slowly or not at all.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// caller is the connection, or nil if it is not known.
	caller *callerConn
	// timeout is how long a write may make no progress.
	timeout time.Duration
}

// newOutput returns the output to the caller of a request.
func (h *Handler) newOutput(w http.ResponseWriter, j *job) *output {
	return &output{w: w, control: http.NewResponseController(w), caller: j.caller, timeout: h.writeTimeout}
}

// writeAll writes the parts of an answer.
func (o *output) writeAll(parts ...[]byte) error {
	for _, part := range parts {
		if len(part) < minWatchedWrite {
			if _, err := o.w.Write(part); err != nil {
				return err
			}
			continue
		}
		for b := range slices.Chunk(part, maxWriteSize) {
			if err := o.write(b); err != nil {
				return err
			}
		}
	}
	return nil
}

// write writes and flushes bytes. It fails if the caller receives nothing for the timeout.
func (o *output) write(b []byte) error {
	watch := o.watch()
	_, err := o.w.Write(b)
	if err == nil {
		err = o.control.Flush()
	}
	if watch.stop() {
		return os.ErrDeadlineExceeded
	}
	return err
}

// interrupt ends the current write, and fails further ones.
func (o *output) interrupt() {
	// On a closed connection there is no write to interrupt.
	_ = o.control.SetWriteDeadline(time.Now())
}

// writeFailure returns the reason for which a request ends whose answer could not be written.
func writeFailure(err error) Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Unread
	}
	return CallerGone
}

// stallWatch interrupts a write once the caller has received nothing for the timeout. Unlike with a deadline of
// the connection, what the caller received while this router stood still is progress too.
type stallWatch struct {
	output *output
	mu     sync.Mutex
	timer  *time.Timer
	// received is what the caller had received at the last look, known is set once there was one.
	received uint64
	known    bool
	// progressAt is the last time at which there was progress.
	progressAt time.Time
	// stopped is set when the write has ended, interrupted when it was interrupted.
	stopped     bool
	interrupted bool
}

// watch starts to watch a write. The watch must be stopped at its end.
func (o *output) watch() *stallWatch {
	s := &stallWatch{output: o, progressAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.interval(), s.look)
	return s
}

// interval returns the time between two looks.
func (s *stallWatch) interval() time.Duration { return s.output.timeout / looksPerTimeout }

// look interrupts the write if it makes no progress.
func (s *stallWatch) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	now := time.Now()
	received, known := s.output.caller.received()
	if known && (!s.known || received != s.received) {
		s.received, s.known, s.progressAt = received, true, now
	}
	if now.Sub(s.progressAt) < s.output.timeout {
		s.timer.Reset(s.interval())
		return
	}
	s.interrupted = true
	s.output.interrupt()
}

// stop ends the watch and reports whether the write was interrupted.
func (s *stallWatch) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	return s.interrupted
}
