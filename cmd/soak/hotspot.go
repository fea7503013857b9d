package main

import (
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// hotSpotCallers is the number of callers that send at once while one router gets most new connections,
	// hotSpotRequests the number of requests of each.
	hotSpotCallers  = 64
	hotSpotRequests = 10
	// hotSpotPercent is the share of the first tries that go to that router.
	hotSpotPercent = 90
)

// checkHotSpot sends most requests, each on a new connection, to one router. Three quarters must be served at the
// first try that a router has read. A try that is closed unread is repeated at the next router.
func (w *harness) checkHotSpot(hot int) {
	var read, served atomic.Int64
	var wait sync.WaitGroup
	for i := range hotSpotCallers {
		c := w.newCaller(w.Callers + 10 + i)
		c.http.Transport = &http.Transport{DisableKeepAlives: true}
		wait.Go(func() {
			for range hotSpotRequests {
				at := hot
				if c.rng.IntN(100) >= hotSpotPercent {
					at = c.rng.IntN(len(w.routers))
				}
				got := c.do(c.newAttempt(w.routers[at], safePath))
				if got.status == 0 {
					got = c.do(c.newAttempt(w.routers[(at+1)%len(w.routers)], safePath))
				}
				read.Add(1)
				if got.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	wait.Wait()
	if 4*served.Load() < 3*read.Load() {
		w.ledger.addViolation("%d of %d requests were served while most connections went to %s", served.Load(), read.Load(), w.routers[hot].name)
	}
}
