package main

import (
	"fmt"
	"sync"
	"time"

	"valescale/platform/fake"
)

// requestRecord is the state of one request.
type requestRecord struct {
	path string
	body string
	// target is the id of the target that started last to execute the request, runAt the time of that.
	target string
	runAt  time.Time
	// runs is the number of targets that executed the request.
	runs int
	// rejected is set when the caller received a not-run response.
	rejected bool
	// takesUp is set if that was a try to take a stream up.
	takesUp bool
	// arrivals are all arrivals at targets, also those that a target rejected; end is how the request ended.
	arrivals []arrival
	end      end
}

// ledger records all requests and all violations of the guarantees.
type ledger struct {
	mu         sync.Mutex
	sent       map[string]*requestRecord
	violations []string
	served     int
	// crashes is the number of targets that crashed under the fatal request.
	crashes int
	// parts counts the requests with the part that crashes targets.
	parts fake.PartCrashes
	// unwanted is the number of requests that reached targets which had reported that they accept none.
	unwanted int
	// traffic contains the requests and repeats of each service.
	traffic map[string]*traffic
	// targets is the number of targets of each service, falls counts those that fell over while they
	// were brittle.
	targets int
	falls   map[string]int
	// unmarked counts the answers of each service by how they end, restarts contains the time of each
	// target's last restart, and seemedWhole the number of broken answers that could be taken for whole ones.
	unmarked    map[string]*unmarkedAnswers
	restarts    map[string]time.Time
	seemedWhole int
	// begins counts new resumable streams, resumptions tries to resume one, and mixed describes the streams that
	// hold events of two versions.
	begins      tally
	resumptions tally
	mixed       []string
	// losses counts the streams after ends of all routers.
	losses lossTallies
	// orders contains the events of the routers, targetEvents those of the targets.
	orders       *orders
	targetEvents map[string][]event
	// ends counts the requests by how they ended.
	ends map[string]int
	// workChecked is the number of silences after which it was checked that the target has work.
	workChecked int
}

func newLedger(targets int) *ledger {
	return &ledger{
		sent: map[string]*requestRecord{}, traffic: map[string]*traffic{}, targets: targets, falls: map[string]int{},
		parts: fake.PartCrashes{Contact: partContact}, unmarked: map[string]*unmarkedAnswers{}, restarts: map[string]time.Time{},
		targetEvents: map[string][]event{}, ends: map[string]int{},
	}
}

// recordSent records a request before it is sent.
func (l *ledger) recordSent(id, path, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = &requestRecord{path: path, body: body}
	for _, service := range servicesOf(path) {
		t := l.of(service)
		t.requests = append(t.requests, time.Now())
	}
}

// recordRun records that a target started to execute a request.
func (l *ledger) recordRun(target, id, path, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.sent[id]
	switch {
	case !ok:
		l.addViolationLocked("a target executed %s, which no caller sent", id)
	case e.path != path || e.body != body:
		l.addViolationLocked("a target executed %s with path %q and body %q; want %q and %q", id, path, body, e.path, e.body)
	default:
		e.runs++
		e.target, e.runAt = target, time.Now()
	}
}

// recordCrash records that the fatal request crashed a target.
func (l *ledger) recordCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
}

// crashCount returns the number of targets that the fatal request has crashed.
func (l *ledger) crashCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes
}

// recordUnwanted records a request that reached a target which had reported that it accepts none.
func (l *ledger) recordUnwanted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwanted++
}

// unwantedCount returns the number of requests that reached targets which had reported that they
// accept none.
func (l *ledger) unwantedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwanted
}

// recordRejected records that the caller of a request received a not-run response.
func (l *ledger) recordRejected(id string, takesUp bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].rejected, l.sent[id].takesUp = true, takesUp
}

// recordServed records a request that was served.
func (l *ledger) recordServed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
}

// addViolationLocked records a violation; the caller holds the lock.
func (l *ledger) addViolationLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// addViolation records a violation.
func (l *ledger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(format, args...)
}

// finish runs the checks that need the complete run. It returns all violations, the number of
// requests sent and the number of requests served.
func (l *ledger) finish() (violations []string, sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkRunsLocked()
	for service, t := range l.traffic {
		if violation := t.checkAllowance(service); violation != "" {
			l.addViolationLocked("%s", violation)
		}
	}
	l.checkEndingsLocked()
	l.checkVersionsLocked()
	l.checkLossesLocked()
	l.checkEndsLocked()
	return l.violations, len(l.sent), l.served
}

// checkRunsLocked checks that requests ran as often as they may. The caller holds the lock.
func (l *ledger) checkRunsLocked() {
	for id, e := range l.sent {
		repeatable := e.path != oncePath && e.path != streamPath
		if e.runs > 1 && !repeatable {
			l.addViolationLocked("%s was executed %d times on %s", id, e.runs, e.path)
		}
		if e.rejected && e.runs > 0 && (!repeatable || e.takesUp) {
			l.addViolationLocked("%s was executed on %s although its caller received a not-run response", id, e.path)
		}
	}
}
