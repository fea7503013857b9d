package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"valescale/platform/fake"
)

const (
	// fatalPart is the part of prompts that crashes each target which begins to write an answer on it.
	fatalPart = "fa7a1"
	// partContact is the time in which routers must know it after it crashed fake.PartCrashLimit targets, and the
	// time after an order to a router from which it must know it.
	partContact = 3 * time.Second
	// partInterval is the time between two requests with the part, and partCrashDelay the time after which their
	// target crashes.
	partInterval   = 100 * time.Millisecond
	partCrashDelay = 30 * time.Millisecond
	// soundSessions is the number of sessions whose prompts share the first part with the crashing requests.
	soundSessions = 4
)

// soundPrompt returns the parts of a prompt that crashes no target.
func soundPrompt(n int) string { return fmt.Sprintf("5ea1:119,5e55%d:580,%x:130", n%soundSessions, n) }

// fatalPrompt returns the parts of a prompt that crashes its target. No two are alike.
func fatalPrompt(n int) string { return fmt.Sprintf("5ea1:119,%s:580,fff%x:130", fatalPart, n) }

// runFatalPrompts sends requests with the crashing part to all routers until the harness stops.
func (c *caller) runFatalPrompts() {
	tick := time.NewTicker(partInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.harness.stop:
			return
		case <-tick.C:
		}
		c.sendPrompt(c.harness.routers[c.rng.IntN(len(c.harness.routers))], fatalPrompt)
	}
}

// sendPrompt sends a request for a stream with the parts of a prompt, and returns the status code.
func (c *caller) sendPrompt(r *router, prompt func(n int) string) int {
	a := c.newAttempt(r, streamPath)
	a.prompt = prompt(c.count)
	return c.do(a).status
}

// crashUnderPart crashes the target if the request has the part.
func (k *handler) crashUnderPart(r *http.Request) {
	if !fake.HasPart(r, fatalPart) {
		return
	}
	if k.target.inTouch(r) {
		k.ledger.parts.Arrived()
	}
	time.Sleep(partCrashDelay)
	k.ledger.parts.Crashed()
	k.crash()
	panic(http.ErrAbortHandler)
}

// inTouch reports whether the router that sent a request to the target has received no order for partContact.
func (t *target) inTouch(r *http.Request) bool {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	ordered, found := t.orders.last(host)
	return found && time.Since(ordered) > partContact
}

// checkParts checks that every router serves sound prompts that share a part with the crashing ones, which still
// come, and that these did not reach targets for longer than they may.
func (w *harness) checkParts(c *caller) {
	for _, r := range w.routers {
		served := 0
		for range finalRequests {
			c.sendPrompt(r, fatalPrompt)
			if c.sendPrompt(r, soundPrompt) == http.StatusOK {
				served++
			}
		}
		if served < finalRequests/2 {
			w.ledger.addViolation("%s served %d of %d sound prompts that share a part with crashing ones", r.name, served, finalRequests)
		}
	}
	if late := w.ledger.parts.Late(); late > fake.MaxLateParts {
		w.ledger.addViolation("%d requests with the crashing part reached targets after it must have been known", late)
	}
}
