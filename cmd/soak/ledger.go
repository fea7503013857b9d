package main

import (
	"fmt"
	"sync"
)

// entry is what is known of one request.
type entry struct {
	path string
	body string
	// runs counts the targets that worked on it.
	runs int
	// refused is set when its caller was told that it has not run.
	refused bool
}

// ledger keeps all requests and what broke.
type ledger struct {
	mu     sync.Mutex
	sent   map[string]*entry
	broken []string
	served int
	// ends counts the targets that ended under the fatal request.
	ends int
	// unwanted counts the requests that reached targets which had said that they want none.
	unwanted int
}

func newLedger() *ledger { return &ledger{sent: map[string]*entry{}} }

// begin notes a request before it is sent.
func (l *ledger) begin(id, path, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = &entry{path: path, body: body}
}

// ran notes that a target began to work on a request.
func (l *ledger) ran(id, path, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.sent[id]
	switch {
	case !ok:
		l.breach("a target ran %s, which nobody sent", id)
	case e.path != path || e.body != body:
		l.breach("a target ran %s with path %q and body %q instead of %q and %q", id, path, body, e.path, e.body)
	default:
		e.runs++
	}
}

// ended notes that the fatal request has ended a target.
func (l *ledger) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends++
}

// endsSoFar is how many targets the fatal request has ended.
func (l *ledger) endsSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends
}

// unwelcome notes a request that reached a target which had said that it wants none.
func (l *ledger) unwelcome() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwanted++
}

// unwantedSoFar is how many requests reached targets that had said that they want none.
func (l *ledger) unwantedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwanted
}

// refused notes that a caller was told that its request has not run.
func (l *ledger) refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].refused = true
}

// done notes a request that was served.
func (l *ledger) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
}

// breach notes a broken promise; the caller holds the lock.
func (l *ledger) breach(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// report notes a broken promise.
func (l *ledger) report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(format, args...)
}

// settle checks what can be told only at the end, and returns all that broke, how many
// requests were sent and how many were served.
func (l *ledger) settle() (broken []string, sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.sent {
		repeatable := e.path != oncePath && e.path != streamPath
		if e.runs > 1 && !repeatable {
			l.breach("%s ran %d times on %s", id, e.runs, e.path)
		}
		if e.refused && e.runs > 0 && !repeatable {
			l.breach("%s ran on %s although its caller was told that it has not", id, e.path)
		}
	}
	return l.broken, len(l.sent), l.served
}
