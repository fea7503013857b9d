package entry

import (
	"context"
	"sync"
	"time"
)

// acceptingInterval is the interval at which it is checked during an answer without a marked end whether its leaving target
// still accepts connections. A target that ends as planned closes its listener before it finishes its last answers,
// which take longer than that.
const acceptingInterval = 300 * time.Millisecond

// acceptingWatch follows whether a leaving target accepts connections while it sends an answer without a marked end. One
// that had stopped before the end ends as planned. One that stops with the end is a process that was taken away.
type acceptingWatch struct {
	// running counts the checks that are running.
	running sync.WaitGroup
	mu      sync.Mutex
	// nextAt is when the next check is due, stopped is set once the target accepts no connections.
	nextAt  time.Time
	stopped bool
}

// hasStopped waits for a check that is running and reports whether the target had stopped accepting connections before.
func (a *acceptingWatch) hasStopped() bool {
	if a == nil {
		return false
	}
	a.running.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// isDue reports whether a check is due, and schedules the next one.
func (a *acceptingWatch) isDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped || now.Before(a.nextAt) {
		return false
	}
	a.nextAt = now.Add(acceptingInterval)
	return true
}

// watchAccepting checks in the background whether the target of an answer without a marked end still accepts
// connections, if it is leaving and a check is due.
func (h *Handler) watchAccepting(ctx context.Context, j *job, answer receivedAnswer) {
	if answer.Framing.Marked() {
		return
	}
	watch := answer.accepting
	if !watch.isDue(h.Clock()) || !h.Finder.IsLeaving(j.lastPlacement.Target) {
		return
	}
	addr, idle := j.lastPlacement.Target.Addr, h.Rules.IdleConns(j.service)
	watch.running.Go(func() {
		if !h.Sender.HasEnded(ctx, addr, idle) {
			return
		}
		watch.mu.Lock()
		defer watch.mu.Unlock()
		watch.stopped = true
	})
}
