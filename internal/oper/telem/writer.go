package telem

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"valescale/internal/plat/ident"
)

// Volume bounds what a log writer takes.
type Volume struct {
	// Queue is how many lines may wait to be written.
	Queue int
	// PerSecond is how many lines a second are written on average, Burst how many at once.
	PerSecond int
	Burst     int
}

// DefaultVolume is a few times what a router writes in a busy second: two lines for
// each of some hundred requests.
var DefaultVolume = Volume{Queue: 4096, PerSecond: 2000, Burst: 4000}

// Writer writes log lines in the background and never makes the caller wait: lines
// beyond its volume are left out, counted, and the count is logged.
type Writer struct {
	out    io.Writer
	volume Volume
	clock  ident.Clock
	lines  chan []byte
	done   chan struct{}

	mu     sync.Mutex
	closed bool
	// tokens are the lines that may be written now, as of filled.
	tokens  float64
	filled  time.Time
	dropped uint64
}

// NewWriter returns a writer and the function that writes what waits and ends it.
func NewWriter(out io.Writer, volume Volume, clock ident.Clock) (*Writer, func()) {
	w := &Writer{
		out: out, volume: volume, clock: clock, lines: make(chan []byte, volume.Queue), done: make(chan struct{}),
		tokens: float64(volume.Burst), filled: clock(),
	}
	go w.run()
	return w, w.close
}

// Write queues one line or leaves it out.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admit() {
		w.dropped++
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped++
	}
	return len(line), nil
}

// Dropped is the number of lines left out so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// admit takes one token; the caller holds the lock.
func (w *Writer) admit() bool {
	now := w.clock()
	passed := now.Sub(w.filled).Seconds()
	w.filled = now
	w.tokens = min(w.tokens+max(passed, 0)*float64(w.volume.PerSecond), float64(w.volume.Burst))
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// close writes what waits and ends the writer; later lines count as left out.
func (w *Writer) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// maxBatch is the size from which a write to the output takes no more lines, in bytes:
// some hundred lines, so that a busy router makes few system calls for its log.
const maxBatch = 32 << 10

// tellEvery is how often at most it is told that lines were left out: once a second says as
// much as once a batch, of which a pressed router writes hundreds.
const tellEvery = time.Second

// run writes lines until the writer is closed and nothing waits.
func (w *Writer) run() {
	defer close(w.done)
	var told uint64
	var toldAt time.Time
	for line := range w.lines {
		batch := w.gather(line)
		if dropped := w.Dropped(); dropped > told && w.clock().Sub(toldAt) >= tellEvery {
			batch = appendLeftOut(batch, dropped-told)
			told, toldAt = dropped, w.clock()
		}
		// There is nobody to tell that logs cannot be written.
		_, _ = w.out.Write(batch)
	}
	if dropped := w.Dropped(); dropped > told {
		_, _ = w.out.Write(appendLeftOut(nil, dropped-told))
	}
}

// appendLeftOut appends the line that tells how many lines were left out.
func appendLeftOut(batch []byte, lines uint64) []byte {
	return fmt.Appendf(batch, `{"level":"warn","msg":"log lines left out","lines":%d}`+"\n", lines)
}

// gather adds the lines that wait already to a first one.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
