package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"valescale/platform/fake"
)

// point is a point of a request at which its target falls silent.
type point string

const (
	// atOnce is no point of a request.
	atOnce        point = ""
	beforeHead    point = "before the head"
	inSized       point = "in a body with a length"
	inChunked     point = "in a body in chunks"
	inUnsized     point = "in a body without a length"
	betweenEvents point = "between two events"
	afterLastByte point = "after the last byte"
)

// plainPoints and streamPoints are the points of the answers of plain targets and of engines.
var (
	plainPoints  = []point{atOnce, beforeHead, inSized, inChunked, inUnsized, afterLastByte}
	streamPoints = []point{atOnce, beforeHead, betweenEvents, afterLastByte}
)

const (
	// minSilence and maxSilence limit the time for which a sound target is silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// workTimeout is the time after its silence in which a target must have work again, if its service got
	// minWork requests a target.
	workTimeout = 2 * time.Second
	minWork     = 10
	// exclusionTime is the time for which routers may avoid a target that broke down, its restart included.
	exclusionTime = 6 * time.Second
)

// silenceTime returns the duration of a silence.
func (w *harness) silenceTime(draw func(n int) int) time.Duration {
	return minSilence + time.Duration(draw(int((maxSilence-minSilence)/time.Millisecond)))*time.Millisecond
}

// fallSilent keeps a healthy target from reading and writing anything for a while. Then it goes on where it was.
func (w *harness) fallSilent(t *target, duration time.Duration) {
	if t.faults.Mode() != fake.Healthy {
		return
	}
	w.setMode(t, fake.Stalled)
	time.AfterFunc(duration, func() {
		if t.faults.Mode() == fake.Stalled {
			w.setMode(t, fake.Healthy)
			w.expectWork(t)
		}
	})
}

// silenceAt makes a target fall silent when a request reaches a point.
func (k *handler) silenceAt(p point) {
	if p == atOnce {
		k.fallSilent()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silentAt = p
}

// reach begins a silence that is due at a point.
func (k *handler) reach(p point) {
	k.mu.Lock()
	due := k.silentAt == p
	if due {
		k.silentAt = atOnce
	}
	k.mu.Unlock()
	if due {
		k.fallSilent()
	}
}

// dueAt returns the point at which a silence is due.
func (k *handler) dueAt() point {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silentAt
}

// writePlain writes a plain answer, in the framing in which a silence is due.
func (k *handler) writePlain(w http.ResponseWriter, answer string) {
	due := k.dueAt()
	switch due {
	case inSized, afterLastByte:
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	case inUnsized:
		fake.OmitEnd(w.Header())
		k.ledger.recordEnding(k.target.service, endWhole)
	case inChunked:
	default:
		_, _ = io.WriteString(w, answer)
		return
	}
	half := len(answer) / 2
	if _, err := io.WriteString(w, answer[:half]); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	if due != afterLastByte {
		k.reach(due)
	}
	if _, err := io.WriteString(w, answer[half:]); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	k.reach(afterLastByte)
}

// workState is what decides whether a target must get work.
type workState struct{ changes, events, received, arrivals int }

// workStateOf returns the state of a target, and whether it can have work.
func (w *harness) workStateOf(t *target) (state workState, able bool) {
	// Rows may be lost while the store is rolled back.
	if !w.operator.TryLock() {
		return workState{}, false
	}
	w.operator.Unlock()
	able = t.handler.able() && t.faults.Mode() == fake.Healthy
	state.received, state.changes = t.handler.counts()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	state.events, state.arrivals = len(w.ledger.targetEvents[t.id]), w.ledger.of(t.service).arrivals
	return state, able && !w.ledger.brokeLatelyLocked(t)
}

// brokeLatelyLocked reports whether the target broke down so recently that routers may avoid it for that. The caller holds
// the lock.
func (l *ledger) brokeLatelyLocked(t *target) bool {
	since := time.Now().Add(-exclusionTime)
	return slices.ContainsFunc(l.targetEvents[t.id], func(e event) bool {
		return (e.what == crashEvent || e.what == resetEvent) && e.at.After(since)
	})
}

// able reports whether the target is ready, and has not reported that it accepts nothing.
func (k *handler) able() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state == "ready" && k.leavingSince.IsZero() && time.Now().After(k.backoffUntil)
}

// counts returns the numbers of requests so far and of changes of what the target says of itself.
func (k *handler) counts() (received, changes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.received, k.changes
}

// expectWork checks that a target has work within workTimeout if nothing else happens to it.
func (w *harness) expectWork(t *target) {
	before, able := w.workStateOf(t)
	if !able {
		return
	}
	ended := time.Now()
	time.AfterFunc(workTimeout, func() { w.checkWork(t, before, ended) })
}

// checkWork checks that a target has had work since its silence ended.
func (w *harness) checkWork(t *target, before workState, ended time.Time) {
	now, able := w.workStateOf(t)
	if !able || now.changes != before.changes || now.events != before.events || now.arrivals-before.arrivals < minWork*w.targetCount(t.service) {
		return
	}
	w.ledger.recordWorkChecked()
	if now.received == before.received {
		w.ledger.addViolation("%s had no work within %s of its silence, which ended at %s, of %d requests of its service", t.id, workTimeout,
			ended.Format("15:04:05.000"), now.arrivals-before.arrivals)
	}
}

// targetCount returns the number of targets of a service.
func (w *harness) targetCount(service string) int {
	if service == spareService {
		return spareTargets
	}
	return w.Targets
}

// recordWorkChecked counts the checks that a target has work after its silence.
func (l *ledger) recordWorkChecked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workChecked++
}

const (
	// silenceCallers is the number of callers while silences are checked after the last fault, silencePause the
	// longest pause between two requests of one.
	silenceCallers = 24
	silencePause   = 50 * time.Millisecond
)

// checkSilences lets one target of each service, and then all at once, fall silent while callers send requests.
func (w *harness) checkSilences() {
	engines := w.engines()
	w.checkSilence(w.targets[0], engines[0])
	w.checkSilence(w.targets...)
}

// checkSilence lets targets fall silent under requests until they must have work again.
func (w *harness) checkSilence(silent ...*target) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range silenceCallers {
		c := w.changingCaller()
		callers.Go(func() { c.sendUntil(stop) })
	}
	for _, t := range silent {
		w.silenceAtRandom(t)
	}
	<-time.After(maxSilence + workTimeout + time.Second)
	close(stop)
	callers.Wait()
}

// sendUntil sends requests to all routers until the channel is closed.
func (c *caller) sendUntil(stop <-chan struct{}) {
	paths := []string{oncePath, safePath, splitPath, streamPath, resumePath}
	for {
		c.send(c.drawRouter(), paths[c.rng.IntN(len(paths))])
		select {
		case <-stop:
			return
		case <-time.After(between(c.rng, 0, silencePause)):
		}
	}
}
