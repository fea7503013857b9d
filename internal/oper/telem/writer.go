package telem

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"valescale/internal/plat/ident"
)

// WriterLimits limits the rate and the queue of a log writer.
type WriterLimits struct {
	// MaxQueuedLines is the maximum number of lines waiting to be written.
	MaxQueuedLines int
	// LinesPerSecond is the rate at which the token bucket is refilled, BurstLines its size.
	LinesPerSecond int
	BurstLines     int
}

// DefaultWriterLimits allows a few times the rate at which a busy router logs, which is two lines
// for each of some hundred requests per second.
var DefaultWriterLimits = WriterLimits{MaxQueuedLines: 4096, LinesPerSecond: 2000, BurstLines: 4000}

// Writer writes log lines in the background and never blocks the caller. It drops lines beyond
// its limits, counts them and logs the count.
type Writer struct {
	out    io.Writer
	limits WriterLimits
	clock  ident.Clock
	lines  chan []byte
	done   chan struct{}

	mu     sync.Mutex
	closed bool
	// tokens is the number of lines in the token bucket at the time refilledAt.
	tokens     float64
	refilledAt time.Time
	dropped    uint64
}

// NewWriter returns a writer and its close function, which writes the queued lines and stops the
// writer.
func NewWriter(out io.Writer, limits WriterLimits, clock ident.Clock) (*Writer, func()) {
	w := &Writer{
		out: out, limits: limits, clock: clock, lines: make(chan []byte, limits.MaxQueuedLines), done: make(chan struct{}),
		tokens: float64(limits.BurstLines), refilledAt: clock(),
	}
	go w.run()
	return w, w.close
}

// Write queues a line, or drops it if the writer is closed or beyond its limits. It never returns
// an error.
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

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// admit takes a token and reports whether there was one. The caller holds w.mu.
func (w *Writer) admit() bool {
	now := w.clock()
	elapsed := now.Sub(w.refilledAt).Seconds()
	w.refilledAt = now
	w.tokens = min(w.tokens+max(elapsed, 0)*float64(w.limits.LinesPerSecond), float64(w.limits.BurstLines))
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// close writes the queued lines and stops the writer. Lines written later count as dropped.
func (w *Writer) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// maxBatchBytes is the batch size at which no more lines are added to a write: some hundred lines,
// so that a busy router makes few system calls for its log.
const maxBatchBytes = 32 << 10

// droppedReportInterval is the minimum interval between log lines that report dropped lines. An
// overloaded router writes hundreds of batches per second, and a report per batch would add no
// information.
const droppedReportInterval = time.Second

// run writes lines in batches until the writer is closed and the queue is empty.
func (w *Writer) run() {
	defer close(w.done)
	var reported uint64
	var reportedAt time.Time
	for line := range w.lines {
		batch := w.collectBatch(line)
		if dropped := w.Dropped(); dropped > reported && w.clock().Sub(reportedAt) >= droppedReportInterval {
			batch = appendDropped(batch, dropped-reported)
			reported, reportedAt = dropped, w.clock()
		}
		// The error is ignored: a failure of the log output cannot be logged.
		_, _ = w.out.Write(batch)
	}
	if dropped := w.Dropped(); dropped > reported {
		_, _ = w.out.Write(appendDropped(nil, dropped-reported))
	}
}

// appendDropped appends a log line with the number of dropped lines.
func appendDropped(batch []byte, lines uint64) []byte {
	return fmt.Appendf(batch, `{"level":"warn","msg":"log lines left out","lines":%d}`+"\n", lines)
}

// collectBatch appends the lines that are already queued to the batch, up to maxBatchBytes.
func (w *Writer) collectBatch(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
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
