package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"valescale/platform/fake"
)

const (
	// recoveryTimeout bounds the shutdown of draining routers, whose grace period is 8 s, and the
	// start of new ones.
	recoveryTimeout = 15 * time.Second
	// settleDelay is the time after all routers are ready again until requests must be served.
	settleDelay = 4 * time.Second
	// signalDelay is the time in which signals of the last faults may still be delivered: a signal
	// to a paused router is delivered when it resumes.
	signalDelay = time.Second
	// restartInterval is the interval between two rounds of orders to start terminated routers.
	restartInterval = 500 * time.Millisecond
	// startTimeout bounds the first start of the routers.
	startTimeout = 10 * time.Second
	// finalRequests is the number of requests sent to each router at the end; three quarters must be
	// served.
	finalRequests = 20
)

// run starts the routers, injects faults, clears them and checks the outcome. It returns the
// number of violations.
func (w *harness) run() int {
	for _, r := range w.routers {
		w.orders.print("start", r)
	}
	if !w.awaitReady(startTimeout) {
		w.ledger.addViolation("not all routers became ready within %s of their start", startTimeout)
	}
	for i := range w.Callers {
		c := w.newCaller(i)
		w.callers.Go(c.run)
	}
	w.callers.Go(w.newCaller(w.Callers + 2).runFatalPrompts)
	w.startPausingCallers()
	waitForChanges := w.startChanges(time.Now().Add(w.For))
	lossesRng := rand.New(rand.NewPCG(w.Seed, lossesStream))
	nextLoss := time.Now().Add(between(lossesRng, 0, lossInterval))
	for end := time.Now().Add(w.For); time.Now().Before(end); {
		w.injectFault()
		if begin := time.Now(); begin.After(nextLoss) {
			w.loseRouters(lossesRng, false)
			// The other faults have the whole time.
			end, nextLoss = end.Add(time.Since(begin)), time.Now().Add(lossInterval)
		}
		time.Sleep(time.Duration(100+w.rng.IntN(500)) * time.Millisecond)
	}
	waitForChanges()
	w.clearFaults()
	time.Sleep(signalDelay)
	if !w.restartAll(recoveryTimeout) {
		w.ledger.addViolation("not all routers became ready within %s of the last fault", recoveryTimeout)
	}
	for range max(1, w.For/lossInterval) {
		w.loseRouters(lossesRng, true)
	}
	time.Sleep(settleDelay)
	close(w.stop)
	w.callers.Wait()
	w.checkRecovery()
	violations, sent, served := w.ledger.finish()
	for _, b := range violations {
		fmt.Println("BROKEN", b)
	}
	fmt.Printf("seed %d: %d requests, %d served, %d targets crashed under one request, %d unwanted, %d store rollbacks\n", w.Seed, sent,
		served, w.ledger.crashCount(), w.ledger.unwantedCount(), w.rollbacks)
	passed := 1
	if len(violations) > 0 {
		passed = 0
	}
	fmt.Printf("seed %d: %s\n", w.Seed, w.ledger.unmarkedSummary())
	fmt.Printf("seed %d: %s\n", w.Seed, w.ledger.versionSummary())
	fmt.Printf("seed %d: after all routers had ended, %s\n", w.Seed, w.ledger.losses)
	fmt.Printf("seed %d: %d targets crashed under one part, %d requests with it came late\n", w.Seed, w.ledger.parts.Count(), w.ledger.parts.Late())
	fmt.Printf("seed %d: %s\n", w.Seed, w.ledger.endSummary())
	fmt.Printf("%d passed, %d failed\n", passed, len(violations))
	return len(violations)
}

// injectFault injects one random fault.
func (w *harness) injectFault() {
	r := w.routers[w.rng.IntN(len(w.routers))]
	t := w.drawTarget()
	mode := fake.Mode(w.rng.IntN(int(fake.Resetting) + 1))
	w.saveSnapshot()
	switch w.rng.IntN(22) {
	case 0:
		w.orders.print("kill", r)
	case 1:
		w.stopRouter(r)
	case 2:
		w.orders.print("pause", r)
	case 3:
		w.orders.print("wake", r)
	case 4, 5:
		w.orders.print("start", r)
	case 6:
		w.orders.print("reload", r)
	case 7:
		w.setMode(t, mode)
	case 8:
		w.storeFaults.Set(mode)
	case 9:
		w.store.Fail([]int{0, 0, http.StatusServiceUnavailable, http.StatusTooManyRequests}[w.rng.IntN(4)])
		w.store.CompactChangeLog()
	case 10:
		w.operator.Lock()
		w.writeNextConfig()
		w.operator.Unlock()
	case 11:
		w.changeTarget(t)
	case 12:
		t.handler.startLeaving()
	case 13:
		t.handler.startBackoff()
	case 14:
		w.operator.Lock()
		w.rollBackStore()
		w.operator.Unlock()
	case 15:
		t.handler.startSlowness()
	case 16:
		w.cutOffForAWhile(r)
	case 17:
		w.silenceForAWhile(t)
	case 18:
		w.startBrittleness(t.service)
	case 19, 20:
		w.changeOneVersion()
	case 21:
		w.rollVersions()
	}
}

// changeTarget drains a target, removes its row without a prior drain, restarts it under the same
// name or announces it again, or corrupts its row as another writer of the store could.
func (w *harness) changeTarget(t *target) {
	switch w.rng.IntN(5) {
	case 0:
		w.announce(t, "draining")
	case 1:
		w.removeRow(t)
	case 2:
		w.corruptRow(t)
	case 3:
		// The clock of the target may have been set back between the two starts.
		t.startedMs += int64(w.rng.IntN(4000)) - 1000
		t.handler.reset()
		w.announce(t, "ready")
	default:
		w.announce(t, "ready")
	}
}

// restartAll orders terminated routers to start until all are ready.
func (w *harness) restartAll(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		for _, r := range w.routers {
			w.orders.print("start", r)
		}
		if w.awaitReady(restartInterval) {
			return true
		}
	}
	return false
}

// clearFaults removes all faults and starts what is not running.
func (w *harness) clearFaults() {
	w.store.Fail(0)
	w.storeFaults.Set(fake.Healthy)
	for _, t := range w.targets {
		w.setMode(t, fake.Healthy)
		t.handler.reset()
		// Routers send to a target that reported leaving only after it has started again.
		t.startedMs++
		w.announce(t, "ready")
	}
	w.variation = usualVariation()
	w.writeNextConfig()
	for _, r := range w.routers {
		w.setCutOff(r, false)
		w.orders.print("wake", r)
		w.orders.print("start", r)
	}
}

// checkRecovery checks that all routers are ready, serve requests, and have the last
// configuration in force.
func (w *harness) checkRecovery() {
	c := w.newCaller(w.Callers)
	w.checkQuarantine(c)
	w.checkParts(c)
	w.checkHotSpot(w.rng.IntN(len(w.routers)))
	w.checkCutOff(c)
	if got := w.ledger.unwantedCount(); got > maxUnwanted {
		w.ledger.addViolation("%d requests reached targets that had reported that they accept none", got)
	}
	for _, r := range w.routers {
		served := 0
		for range finalRequests {
			if c.send(r, w.extraPrefix(w.extraID)) == http.StatusOK {
				served++
			}
		}
		if served < finalRequests*3/4 {
			w.ledger.addViolation("%s served %d of %d requests after the last fault", r.name, served, finalRequests)
		}
		if status := c.send(r, w.extraPrefix(w.extraID-1)); status != http.StatusNotFound {
			w.ledger.addViolation("%s returned status %d on a removed route", r.name, status)
		}
	}
	w.checkSilences()
}

const (
	// minCrashes is the number of targets crashed by one request from which all routers must
	// quarantine it.
	minCrashes = 3
	// maxCrashes is the maximum of targets that one request may crash in a run, whatever faults the
	// routers have. Two to four are usual; without quarantine some 40 crash.
	maxCrashes = 12
)

// maxUnwanted is the maximum of requests in a run that may reach targets which reported that they
// accept none: a router that has just started may send a target one or two until it receives the
// target's report itself.
const maxUnwanted = 40

// checkQuarantine checks that every router rejects the request that crashed targets, even when the
// routers that observed the crashes have terminated since.
func (w *harness) checkQuarantine(c *caller) {
	crashes := w.ledger.crashCount()
	if crashes > maxCrashes {
		w.ledger.addViolation("%d targets crashed under one request", crashes)
	}
	if crashes < minCrashes {
		return
	}
	for _, r := range w.routers {
		if status := c.send(r, fatalPath); status != http.StatusServiceUnavailable {
			w.ledger.addViolation("%s returned status %d to a request that crashed %d targets", r.name, status, crashes)
		}
	}
	if more := w.ledger.crashCount() - crashes; more > 0 {
		w.ledger.addViolation("%d more targets crashed under a request that had crashed %d", more, crashes)
	}
}

// awaitReady waits until all routers report that they are ready.
func (w *harness) awaitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, r := range w.routers {
		for !ready(client, r) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func ready(client *http.Client, r *router) bool {
	resp, err := client.Get("http://" + r.ready + fake.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
