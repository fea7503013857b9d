package entry

import (
	"slices"
	"sync"
	"time"

	"valescale/internal/plat/memory"
)

// maxUnreadPerCaller is the maximum number of bytes buffered for one caller, many times the
// size of a chat stream.
const maxUnreadPerCaller = 256 << 10

// maxStallTime is how long a caller whose buffer is full may receive nothing. Callers themselves give a stream up after a pause of
// two seconds. The target waits meanwhile, and cuts off answers that stay unread for some seconds.
const maxStallTime = 2 * time.Second

// streamWriter writes a stream asynchronously to a caller that may read slowly or not at all. Data
// is buffered here instead of at the target: a target cuts off answers that stay unread, and
// crashes when it holds too many. The buffered size is limited for each caller and for all callers
// of a box together.
type streamWriter struct {
	output *output
	// reserved is the memory of the buffered data.
	reserved *memory.Reservation

	mu sync.Mutex
	// pending is what is to be written, in parts of at most maxWriteSize, of size bytes together.
	pending [][]byte
	size    int
	// writing is set while a goroutine writes. It signals progress when it has written a part.
	writing  bool
	progress *sync.Cond
	// failed is set once the caller accepts no more data.
	failed bool
}

// newStreamWriter returns an empty writer. It must be closed before the request ends.
func newStreamWriter(output *output, reserved *memory.Reservation) *streamWriter {
	s := &streamWriter{output: output, reserved: reserved}
	s.progress = sync.NewCond(&s.mu)
	return s
}

// hasRoom reports whether a number of bytes can be appended without waiting for the caller.
func (s *streamWriter) hasRoom(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fits(n)
}

// fits reports whether there is room for a number of bytes. One event may be larger than the limit. The caller holds the lock.
func (s *streamWriter) fits(n int) bool { return s.size == 0 || s.size+n <= maxUnreadPerCaller }

// enqueue appends bytes to the pending data, and waits for room while the caller makes progress. It returns the reason for
// which the stream ends if the caller has disconnected or does not read, or if the box has no memory, and an empty reason otherwise.
func (s *streamWriter) enqueue(b []byte) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.fits(len(b)) && !s.failed {
		if !s.waitForProgress() {
			return Unread
		}
	}
	switch {
	case s.failed:
		return CallerGone
	case !s.reserved.Grow(memory.Bytes(len(b))):
		return NoMemory
	}
	s.push(b)
	if !s.writing {
		s.writing = true
		go s.flush()
	}
	return ""
}

// waitForProgress waits until a part is written, and reports whether the caller has received anything within maxStallTime. The
// caller of this method holds the lock.
func (s *streamWriter) waitForProgress() bool {
	received, known := s.output.caller.received()
	size, stalled := s.size, false
	timer := time.AfterFunc(maxStallTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		stalled = true
		s.progress.Broadcast()
	})
	defer timer.Stop()
	for s.size == size && !s.failed && !stalled {
		s.progress.Wait()
	}
	if s.size != size || s.failed {
		return true
	}
	now, _ := s.output.caller.received()
	return known && now != received
}

// push appends bytes to the pending parts. The caller holds the lock.
func (s *streamWriter) push(b []byte) {
	s.size += len(b)
	for part := range slices.Chunk(b, maxWriteSize) {
		last := len(s.pending) - 1
		if last < 0 || len(s.pending[last])+len(part) > maxWriteSize {
			s.pending = append(s.pending, slices.Clone(part))
			continue
		}
		s.pending[last] = append(s.pending[last], part...)
	}
}

// flush writes the pending data until none is left, and returns the memory of each part that is written.
func (s *streamWriter) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !s.failed {
		next := s.pending[0]
		s.pending[0] = nil
		s.pending = s.pending[1:]
		s.size -= len(next)
		s.mu.Unlock()
		err := s.output.write(next)
		s.reserved.Shrink(memory.Bytes(len(next)))
		s.mu.Lock()
		s.failed = s.failed || err != nil
		s.progress.Broadcast()
	}
	s.writing = false
	s.progress.Broadcast()
}

// wait waits until all data is written, and reports whether all writes succeeded.
func (s *streamWriter) wait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.progress.Wait()
	}
	return !s.failed
}

// abort discards the pending data and interrupts the current write.
func (s *streamWriter) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	s.progress.Broadcast()
	s.output.interrupt()
}

// close releases the buffer.
func (s *streamWriter) close() {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved.Close()
	s.pending = nil
}
