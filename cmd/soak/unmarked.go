package main

import (
	"fmt"
	"net/http"
	"time"

	"valescale/platform/fake"
)

// ending is how a target ends an answer that comes with neither a length nor chunks.
type ending string

const (
	// endMarked is the ending of all other answers.
	endMarked ending = "marked"
	// endWhole answers end with their connection, whole.
	endWhole ending = "whole"
	// endClosed streams end inside an event with a connection that is closed in order.
	endClosed ending = "closed inside an event"
	// endReset answers break off inside an event, or anywhere in a plain answer, with a reset.
	endReset ending = "reset"
	// endDown answers break off because their target goes down, which closes the connection in order:
	// streams right after a whole event, plain answers anywhere.
	endDown ending = "target went down"
)

// endingsOf contains the endings of which each run must have at least one.
var endingsOf = map[string][]ending{
	plainService:  {endWhole, endReset, endDown},
	engineService: {endWhole, endClosed, endReset, endDown},
}

const (
	// unmarkedInterval makes one answer in so many one without a marked end.
	unmarkedInterval = 4
	// breakInterval makes one of these in so many break off, by a reset and a close in turn, and
	// downInterval one take its target down.
	breakInterval = 10
	downInterval  = 75
)

// unmarkedAnswers counts the answers of one service.
type unmarkedAnswers struct {
	// drawn is the number of all answers.
	drawn int
	// sent contains the number of answers without a marked end.
	sent map[ending]int
}

// drawEnding selects the ending of the next answer of a service. It counts rather than draws at random, so
// that each run of some seconds has all of them.
func (l *ledger) drawEnding(service string) ending {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.unmarkedOf(service)
	u.drawn++
	n := u.drawn / unmarkedInterval
	switch {
	case u.drawn%unmarkedInterval != 0:
		return endMarked
	case n%downInterval == downInterval/2:
		return endDown
	case n%breakInterval != 0:
		return endWhole
	case n/breakInterval%2 == 0 || service == plainService:
		return endReset
	default:
		return endClosed
	}
}

// unmarkedOf returns the count of a service. The caller holds the lock.
func (l *ledger) unmarkedOf(service string) *unmarkedAnswers {
	u, ok := l.unmarked[service]
	if !ok {
		u = &unmarkedAnswers{sent: map[ending]int{}}
		l.unmarked[service] = u
	}
	return u
}

// recordEnding records how an answer without a marked end was ended.
func (l *ledger) recordEnding(service string, e ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unmarkedOf(service).sent[e]++
}

// checkEndingsLocked checks that the run had answers with each ending. The caller holds the lock.
func (l *ledger) checkEndingsLocked() {
	for service, endings := range endingsOf {
		for _, e := range endings {
			if l.unmarkedOf(service).sent[e] == 0 {
				l.addViolationLocked("no answer of service %s without a marked end had the ending %q", service, e)
			}
		}
	}
}

// unmarkedSummary returns the number of answers without a marked end, of those that broke off, and of those
// that could be taken for whole ones.
func (l *ledger) unmarkedSummary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, broken := 0, 0
	for _, u := range l.unmarked {
		for e, count := range u.sent {
			sent += count
			if e != endWhole {
				broken += count
			}
		}
	}
	return fmt.Sprintf("%d answers without a marked end, %d of them broken off, %d seemed whole", sent, broken, l.seemedWhole)
}

// recordRestart records that a target listens again.
func (l *ledger) recordRestart(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restarts[target] = time.Now()
}

// allowSeemsWhole reports whether the answer to a request could be taken for a whole one: its target went
// down after it had started to execute the request, and listens again. It counts such answers.
func (l *ledger) allowSeemsWhole(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.sent[id]
	if !ok || !l.restarts[e.target].After(e.runAt) {
		return false
	}
	l.seemedWhole++
	return true
}

// endsMarked reports whether the end of a router's answer is marked.
func endsMarked(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// checkUnmarked checks an answer that ended in order, without a marked end, and is not whole. It must have been such that the
// router could take it for a whole one.
func (c *caller) checkUnmarked(a attempt, m match, got string) {
	ledger := c.harness.ledger
	switch {
	case !m.partial:
		ledger.addViolation("%s on %s: unexpected answer %.200q without a marked end", a.id, a.path, got)
	case isStream(a.path) && !m.onlyEvents:
		ledger.addViolation("%s on %s: the answer ended in order inside an event: %.200q", a.id, a.path, got)
	case got == "":
		ledger.addViolation("%s on %s: an answer without a marked end ended in order without a body", a.id, a.path)
	case !ledger.allowSeemsWhole(a.id):
		ledger.addViolation("%s on %s: a broken answer without a marked end ended in order: %.200q", a.id, a.path, got)
	}
}

// endPlain sends a plain answer without a marked end.
func (k *handler) endPlain(w http.ResponseWriter, answer string, e ending) {
	fake.OmitEnd(w.Header())
	if e == endWhole {
		k.ledger.recordEnding(k.target.service, e)
		_, _ = fmt.Fprint(w, answer)
		return
	}
	k.ledger.recordBreak(k.target, w.Header().Get(fake.HeaderID))
	if _, err := fmt.Fprint(w, answer[:len(answer)/2]); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	k.breakOff(w, e)
}

// breakOff breaks an answer off, of which everything written so far has been flushed.
func (k *handler) breakOff(w http.ResponseWriter, e ending) {
	k.ledger.recordEnding(k.target.service, e)
	switch e {
	case endReset:
		fake.Reset(w)
	case endDown:
		k.crash()
		panic(http.ErrAbortHandler)
	}
}
