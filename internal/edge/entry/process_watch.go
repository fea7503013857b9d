package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
)

// An answer without a marked end ends with its connection, which its target closes in order or the kernel closes for a
// process that was taken away. A process that is taken away loses its listener and all connections at the same
// moment. One that ends as planned closes its listener first, finishes its answers one by one, and ends last.

const (
	// acceptingInterval is the interval at which it is checked whether a leaving target still accepts connections.
	acceptingInterval = 300 * time.Millisecond
	// teardownTime is the time after the end of a connection in which the kernel may still be closing the listener of a
	// process that was taken away. A connection that is made meanwhile may seem open for good.
	teardownTime = 50 * time.Millisecond
	// closeMargin is the time within which all connections of a process that was taken away are known to be closed: more
	// than the time after which the kernel repeats a lost packet.
	closeMargin = 250 * time.Millisecond
)

// targetProber makes connections that carry no request.
type targetProber interface {
	// Probe returns a connection to a target, or nil, and whether nothing listens at its address any more.
	Probe(ctx context.Context, addr string) (probe *relay.Probe, refused bool)
}

// processWatches contains the watch of each leaving target that sends answers without a marked end.
type processWatches struct {
	prober targetProber
	clock  ident.Clock
	logger log.Logger

	mu     sync.Mutex
	byAddr map[string]*processWatch
}

// newProcessWatches returns an empty set of watches.
func newProcessWatches(prober targetProber, clock ident.Clock, logger log.Logger) *processWatches {
	return &processWatches{prober: prober, clock: clock, logger: logger, byAddr: map[string]*processWatch{}}
}

// processWatch follows the process of a leaving target.
type processWatch struct {
	all  *processWatches
	addr string
	// joinedAt is when the first answer was added, and atHead is set if nothing of its body had been read. cancel ends the
	// watch with the last answer.
	joinedAt time.Time
	atHead   bool
	cancel   context.CancelFunc
	// checked is closed after the first check.
	checked chan struct{}

	mu      sync.Mutex
	answers map[*watchedAnswer]bool
	// probe is a connection that the target accepted, or nil, and probedAt when it was made.
	probe    *relay.Probe
	probedAt time.Time
	// settled is set once it is known which answers have outlived the listener.
	settled bool
}

// watchedAnswer is an answer without a marked end, which may become part of the watch of its target's process.
type watchedAnswer struct {
	// open reports whether the target has not closed the answer's connection.
	open func() bool
	// events counts the reads of the answer that brought an event.
	events atomic.Int64
	// watch is set by the goroutine that reads the answer.
	watch *processWatch
	// outlivesListener is set once the answer's connection is known to be open after the target had stopped accepting
	// others. The lock of the watch guards it.
	outlivesListener bool
}

// join adds an answer to the watch of its target, which begins with the first one. Of an answer at its head, nothing of the body
// has been read.
func (s *processWatches) join(addr string, answer *watchedAnswer, atHead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watch, ok := s.byAddr[addr]
	if !ok {
		ctx, cancel := context.WithCancel(context.Background())
		watch = &processWatch{
			all: s, addr: addr, joinedAt: s.clock(), atHead: atHead, cancel: cancel, checked: make(chan struct{}),
			answers: map[*watchedAnswer]bool{},
		}
		s.byAddr[addr] = watch
		go watch.run(ctx)
	}
	answer.watch = watch
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.answers[answer] = true
	// A process that sends a head lives. Other answers may be what is left of one that does not.
	answer.outlivesListener = watch.settled && (atHead || answer.open())
}

// leave removes an answer from the watch of its target. It must be called before the answer is closed.
func (a *watchedAnswer) leave() {
	w := a.watch
	if w == nil {
		return
	}
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.answers, a)
	if len(w.answers) == 0 {
		delete(w.all.byAddr, w.addr)
		w.cancel()
	}
}

// run checks whether the target accepts connections until it does not, or until the watch ends.
func (w *processWatch) run(ctx context.Context) {
	defer w.end()
	accepts := w.check(ctx)
	if !accepts && w.atHead && w.all.clock().Sub(w.joinedAt) <= relay.LocalDelayThreshold {
		// The target had stopped before it sent the head of the first answer.
		w.settle(func(*watchedAnswer) bool { return true })
	}
	close(w.checked)
	for accepts {
		w.waitForCheck(ctx)
		if ctx.Err() != nil {
			return
		}
		accepts = w.check(ctx)
	}
	pause.Sleep(ctx, closeMargin)
	w.settle(func(a *watchedAnswer) bool { return a.open() })
	<-ctx.Done()
}

// end closes the probe.
func (w *processWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probe.Close()
}

// check makes a connection to the target and reports whether it may still accept others.
func (w *processWatch) check(ctx context.Context) bool {
	probe, refused := w.all.prober.Probe(ctx, w.addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keep(probe)
	if !refused || ctx.Err() != nil {
		return true
	}
	_ = level.Info(w.all.logger).Log("msg", "leaving target has stopped accepting connections", "addr", w.addr, "answers", len(w.answers),
		"probe_open", w.probe.Open())
	return false
}

// keep makes a connection the probe if the earlier one is closed. The caller holds the lock.
func (w *processWatch) keep(probe *relay.Probe) {
	if probe == nil || w.probe.Open() {
		probe.Close()
		return
	}
	w.probe.Close()
	w.probe, w.probedAt = probe, w.all.clock()
}

// waitForCheck waits until the next check is due: after the interval, or once the target has closed the probe.
func (w *processWatch) waitForCheck(ctx context.Context) {
	var closed <-chan struct{}
	w.mu.Lock()
	if w.probe != nil {
		closed = w.probe.Closed()
	}
	w.mu.Unlock()
	timer := time.NewTimer(acceptingInterval)
	defer timer.Stop()
	select {
	case <-closed:
		pause.Sleep(ctx, teardownTime)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settle records which answers have outlived the listener.
func (w *processWatch) settle(outlives func(*watchedAnswer) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for answer := range w.answers {
		answer.outlivesListener = answer.outlivesListener || outlives(answer)
	}
	w.settled = true
}

// endsAsPlanned reports whether the answer ended after its target had stopped accepting connections, so that the target
// has finished it.
func (a *watchedAnswer) endsAsPlanned() bool {
	w := a.watch
	if w == nil {
		return false
	}
	<-w.checked
	w.mu.Lock()
	defer w.mu.Unlock()
	return a.outlivesListener
}

// targetLivesOn reports whether the process of an answer's target is known to live after it has closed the answer's
// connection, although it accepts no others. It waits for closeMargin.
func (a *watchedAnswer) targetLivesOn(ctx context.Context, endedAt time.Time) bool {
	w := a.watch
	if w == nil {
		return false
	}
	events := w.eventsOfOthers(a)
	pause.Sleep(ctx, closeMargin)
	return w.showsLife(endedAt, events)
}

// eventsOfOthers returns the number of events of each other answer of the target.
func (w *processWatch) eventsOfOthers(a *watchedAnswer) map[*watchedAnswer]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	events := map[*watchedAnswer]int64{}
	for other := range w.answers {
		if other != a {
			events[other] = other.events.Load()
		}
	}
	return events
}

// showsLife reports whether the probe is open that was made before an answer ended, or another answer that has brought events
// beyond those counted before.
func (w *processWatch) showsLife(endedAt time.Time, before map[*watchedAnswer]int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probe.Open() && endedAt.Sub(w.probedAt) > teardownTime {
		return true
	}
	for answer, events := range before {
		if w.answers[answer] && answer.events.Load() > events && answer.open() {
			return true
		}
	}
	return false
}

// watchProcess adds an answer without a marked end to the watch of its target's process if the target is leaving.
func (h *Handler) watchProcess(j *job, answer receivedAnswer) {
	if answer.Framing.Marked() || answer.watched.watch != nil || !h.Finder.IsLeaving(j.lastPlacement.Target) {
		return
	}
	h.processes.join(j.lastPlacement.Target.Addr, answer.watched, answer.progress.bytes == 0)
}
