package main

import (
	"net"
	"net/http"
	"time"

	"valescale/platform/fake"
)

const (
	// partContact is the time in which routers must know that a part crashes targets after fake.PartCrashLimit crashes,
	// and the time after an order to a router from which it must know that.
	partContact = 3 * time.Second
	// partInterval is the time between two requests with the part, and partCrashDelay the time after which their
	// target crashes.
	partInterval   = 100 * time.Millisecond
	partCrashDelay = 30 * time.Millisecond
)

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
		c.sendPrompt(c.drawRouter(), fake.FatalPrompt)
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
	if !fake.HasFatalPart(r) {
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
			c.sendPrompt(r, fake.FatalPrompt)
			if c.sendPrompt(r, fake.SoundPrompt) == http.StatusOK {
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
