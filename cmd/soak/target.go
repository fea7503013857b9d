package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"valescale/platform/fake"
)

// handler serves the requests of one target and injects faults into some of its responses.
type handler struct {
	target *target
	ledger *ledger
	mu     sync.Mutex
	rng    *rand.Rand
	// crash takes the target down.
	crash func()
	// room limits how many requests run at the target at once.
	room *fake.Brittle
	// leavingSince is the time from which the target reports in its responses that it is leaving, and
	// backoffUntil the time until which it rejects all requests; both are zero if it does not.
	leavingSince time.Time
	backoffUntil time.Time
	// reportedSince is the time of the first answer that could carry the report that the target is leaving:
	// of one whose connection is reset, nothing arrives.
	reportedSince time.Time
	// slowUntil is the time until which the target is slow.
	slowUntil time.Time
	// version and state are those of the target's row in the store.
	version version
	state   string
	// silentAt is the point at which the next request that reaches it begins a silence of the target.
	silentAt point
	// fallSilent begins a silence of the target.
	fallSilent func()
	// changes counts changes of what the target or its row says of itself.
	changes int
	// received is the number of requests so far.
	received int
}

// receivedCount returns the number of requests so far.
func (k *handler) receivedCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.received
}

func (w *harness) newHandler(t *target, n uint64) *handler {
	k := &handler{target: t, ledger: w.ledger, rng: rand.New(rand.NewPCG(w.Seed, n))}
	k.room = &fake.Brittle{Slots: targetSlots, Waiting: targetSlots, Fall: k.fall}
	return k
}

// targetSlots is the number of requests that a target runs at once; as many may wait.
const targetSlots = 16

const (
	// brittleLimit is the number of rejections in one second beyond which a brittle target falls over.
	brittleLimit = 5
	// brittleWarning is the time after which brittle targets let no requests wait, and brittleDuration
	// how long they are brittle.
	brittleWarning  = 3 * time.Second
	brittleDuration = 6 * time.Second
)

// startBrittleness makes the targets of a service brittle for brittleDuration.
func (w *harness) startBrittleness(service string) {
	w.ledger.startBrittleness(service)
	for _, t := range w.targets {
		if t.service != service {
			continue
		}
		room := t.handler.room
		room.SetLimit(brittleLimit)
		time.AfterFunc(brittleWarning, func() { room.SetWaiting(0) })
		time.AfterFunc(brittleDuration, func() {
			room.SetWaiting(targetSlots)
			room.SetLimit(0)
		})
	}
}

// fall takes the target down because it had to reject too many requests.
func (k *handler) fall() {
	k.ledger.recordFall(k.target.service)
	k.crash()
}

// Shares of requests with an injected fault, in percent.
const (
	rejectPercent = 3
	failPercent   = 3
	resetPercent  = 2
	slowPercent   = 2
	// badPacePercent is the share of responses with an invalid pace.
	badPacePercent = 1
)

const (
	// slowDuration is how long a slow target stays slow, slowFactor how much slower it is.
	slowDuration = 2 * time.Second
	slowFactor   = 3
)

// eventInterval is the delay between two events.
const eventInterval = 10 * time.Millisecond

// countAndDraw counts a request and returns the random number that selects its fault.
func (k *handler) countAndDraw() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.received++
	return k.rng.IntN(100)
}

// serve serves a request if the target has room for it.
func (k *handler) serve(w http.ResponseWriter, r *http.Request) { k.room.Serve(w, r, k.work) }

// work serves a request in a slot of the target.
func (k *handler) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(fake.HeaderID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := k.countAndDraw()
	if k.writeStatus(w) || fault < rejectPercent {
		k.ledger.recordFailure(k.target, id)
		w.Header().Set(fake.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.ledger.recordRun(k.target.id, id, r.URL.Path, string(body))
	if r.URL.Path == fatalPath {
		k.ledger.recordCrash()
		k.crash()
		panic(http.ErrAbortHandler)
	}
	k.crashUnderPart(r)
	w.Header().Set(fake.HeaderSignature, k.target.id)
	eventDelay := k.writePace(w)
	k.reach(beforeHead)
	switch fault -= rejectPercent; {
	case fault < failPercent:
		k.ledger.recordFailure(k.target, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case fault < failPercent+resetPercent:
		k.ledger.recordBreak(k.target, id)
		panic(http.ErrAbortHandler)
	case fault < failPercent+resetPercent+slowPercent:
		time.Sleep(300 * time.Millisecond)
	}
	if isStream(r.URL.Path) {
		k.serveStream(w, r, strings.TrimPrefix(string(body), streamNamePrefix), eventDelay)
		return
	}
	answer := answerOf(r.URL.Path, id)
	if e := k.ledger.drawEnding(plainService); e != endMarked {
		k.endPlain(w, answer, e)
		return
	}
	k.writePlain(w, answer)
}

const (
	// leavingGrace is the time for which a target that has reported leaving may still get requests: two seconds, and one
	// more for a machine without spare processor time.
	leavingGrace = 3 * time.Second
	// backoffDuration is the time for which a target rejects requests, and backoffGrace the time in
	// which requests already under way may still arrive.
	backoffDuration = 2 * time.Second
	backoffGrace    = 500 * time.Millisecond
)

// startLeaving makes the target report that it is leaving.
func (k *handler) startLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes++
	k.leavingSince, k.reportedSince = time.Now(), time.Time{}
}

// startBackoff makes the target reject all requests for backoffDuration.
func (k *handler) startBackoff() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes++
	k.backoffUntil = time.Now().Add(backoffDuration)
}

// reset clears what the target reports of itself, as after a start.
func (k *handler) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leavingSince, k.reportedSince, k.backoffUntil, k.slowUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	k.room.SetLimit(0)
	k.room.SetWaiting(targetSlots)
}

// writeStatus writes the target's status to the response headers and counts a request that arrives
// although an earlier response reported that the target accepts none. It reports whether the
// request is to be rejected.
func (k *handler) writeStatus(w http.ResponseWriter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.leavingSince.IsZero() {
		w.Header().Set(fake.HeaderLeaving, "1")
		if k.reportedSince.IsZero() && k.target.faults.Mode() != fake.Resetting {
			k.reportedSince = now
		}
		if !k.reportedSince.IsZero() && now.Sub(k.reportedSince) > leavingGrace {
			k.ledger.recordUnwanted()
		}
	}
	left := k.backoffUntil.Sub(now)
	if left <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	if left < backoffDuration-backoffGrace {
		k.ledger.recordUnwanted()
	}
	return true
}

// expectedAnswer returns the only correct body of the answer to a plain request.
func expectedAnswer(id string) string { return "answer to " + id }

// answerOf returns the only correct body of the answer to a plain request of a path.
func answerOf(path, id string) string {
	if path != bigPath {
		return expectedAnswer(id)
	}
	return strings.Repeat(expectedAnswer(id)+"\n", bigAnswerLines)
}

// writePace reports the target's pace in the response headers and returns the delay between two
// events. Now and then the reported pace is no valid number.
func (k *handler) writePace(w http.ResponseWriter) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	load, delay := "1,0,16,100", eventInterval
	if time.Now().Before(k.slowUntil) {
		load, delay = "1,0,16,300", slowFactor*eventInterval
	}
	if k.rng.IntN(100) < badPacePercent {
		load = "1,0,16,-7e9"
	}
	w.Header().Set(fake.HeaderLoad, load)
	return delay
}

// startSlowness makes the target slow for slowDuration.
func (k *handler) startSlowness() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slowUntil = time.Now().Add(slowDuration)
}

// serveStream sends the events of a stream and breaks some streams off midway.
func (k *handler) serveStream(w http.ResponseWriter, r *http.Request, stream string, eventDelay time.Duration) {
	writer := k.currentVersion()
	w.Header().Set("Content-Type", "text/event-stream")
	from := 1
	if after, err := strconv.Atoi(r.Header.Get(fake.HeaderLastEventID)); err == nil {
		from = after + 1
	}
	e := k.ledger.drawEnding(engineService)
	if e != endMarked {
		fake.OmitEnd(w.Header())
	}
	breakAt := k.drawBreak(e, from)
	control := http.NewResponseController(w)
	for n := from; n <= eventsPerStream; n++ {
		event := eventOf(stream, n, writer)
		if n > from {
			k.reach(betweenEvents)
		}
		if n == breakAt {
			k.ledger.recordBreak(k.target, r.Header.Get(fake.HeaderID))
		}
		if n == breakAt && e != endDown {
			event = event[:1+k.draw(len(event)-1)]
		}
		if _, err := io.WriteString(w, event); err != nil || control.Flush() != nil {
			return
		}
		if n == breakAt {
			k.breakStream(w, e)
			return
		}
		time.Sleep(eventDelay)
	}
	if e != endMarked {
		k.ledger.recordUnmarked(k.target, r.Header.Get(fake.HeaderID))
	}
	if e == endWhole {
		k.ledger.recordEnding(engineService, e)
	}
	k.reach(afterLastByte)
}

// drawBreak returns the number of the event at which a stream breaks off, or one that it does not reach.
func (k *handler) drawBreak(e ending, from int) int {
	breaks := e != endWhole && (e != endMarked || k.draw(100) < resetPercent)
	if !breaks || from >= eventsPerStream {
		return eventsPerStream + 1
	}
	return from + k.draw(eventsPerStream-from)
}

// breakStream breaks a stream off.
func (k *handler) breakStream(w http.ResponseWriter, e ending) {
	if e == endMarked {
		panic(http.ErrAbortHandler)
	}
	k.breakOff(w, e)
}

// draw returns a random number below n.
func (k *handler) draw(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.IntN(n)
}
