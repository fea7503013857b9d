package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lossesStream selects the random numbers of ends of all routers, one of which comes in each lossInterval of a run.
	lossesStream = 1 << 34
	lossInterval = 6 * time.Second
	// lossStreams is the number of streams of each kind that callers begin within lossLead before all routers end.
	lossStreams = 24
	lossLead    = 1200 * time.Millisecond
	// minDown and maxDown limit the time for which no router lives.
	minDown = 300 * time.Millisecond
	maxDown = 2 * time.Second
	// releaseLead is the longest time between the last targets of a version and the end of all routers.
	releaseLead = 500 * time.Millisecond
	// lateBegin is the time before the end of all routers in which a stream may have begun whose origin ended with them.
	lateBegin = 500 * time.Millisecond
	// takeUpTries and takeUpTime limit the answered tries of a caller after that, and the time of all of them.
	takeUpTries = 4
	takeUpTime  = 10 * time.Second
	// minSteadyShare is the least share of streams of a service with one version that go on, minLasting the number of
	// streams of others from which theirs is checked.
	minSteadyShare = 0.9
	minLasting     = 6
)

// release is when the targets of all versions but one go, relative to the end of all routers.
type release string

const (
	noRelease     release = "all versions stay"
	leaving       release = "one version stays, the others leave and go later"
	justGone      release = "one version stays, the others have just gone"
	goneMeanwhile release = "one version stays, the others go while no router lives"
)

var releases = []release{noRelease, leaving, justGone, goneMeanwhile}

// loss is an end of all routers, and what callers did about it.
type loss struct {
	*harness
	rng     *rand.Rand
	release release
	// stays is the version that all engines get in a release.
	stays version
	// at is when the first router ends. It is valid once ended is closed, which is when the last one has ended.
	at      time.Time
	ended   chan struct{}
	callers sync.WaitGroup
	tallies lossTallies
}

// lossTallies counts the streams after an end of all routers: those of a service with one version and those whose version has
// targets, that were taken up, and new ones.
type lossTallies struct{ steady, lasting, begun tally }

// losses are the ways in which all routers end and start again.
var losses = []struct {
	name string
	run  func(l *loss)
}{
	{"killed at once", (*loss).killAll},
	{"killed at once, twice", func(l *loss) { l.killAll(); l.killAll() }},
	{"killed one after the other", func(l *loss) { l.inTurn(func(r *router) { l.kill(r) }) }},
	{"stopped one after the other", func(l *loss) { l.inTurn(l.stop) }},
}

// loseRouters ends all routers, beside a release or none. The share of streams that go on is judged only if nothing else
// happens: without the store, targets or paths, none can.
func (w *harness) loseRouters(rng *rand.Rand, judged bool) {
	way := losses[rng.IntN(len(losses))]
	l := &loss{harness: w, rng: rng, release: releases[rng.IntN(len(releases))], ended: make(chan struct{})}
	w.splitVersions()
	l.stays = versions[rng.IntN(len(versions))]
	for range lossStreams {
		lead := between(rng, 0, lossLead)
		l.start(func(c *caller) { c.outlive(l, steadyPath, lead) })
		l.start(func(c *caller) { c.outlive(l, resumePath, lead) })
		l.start(func(c *caller) { c.beginAfter(l) })
	}
	lead := between(rng, 0, releaseLead)
	<-time.After(lossLead - lead)
	l.releaseIf(justGone)
	<-time.After(lead)
	l.at = time.Now()
	way.run(l)
	close(l.ended)
	l.releaseIf(leaving)
	fmt.Printf("seed %d: all routers %s, %s\n", w.Seed, way.name, l.release)
	if !judged {
		w.callers.Go(l.callers.Wait)
		return
	}
	l.callers.Wait()
	w.ledger.addLoss(l.tallies)
}

// start starts a caller.
func (l *loss) start(run func(c *caller)) {
	c := l.lossCaller()
	l.callers.Go(func() { run(c) })
}

// lossCaller returns another caller for an end of all routers.
func (w *harness) lossCaller() *caller {
	w.losing++
	return w.newCaller(firstLosing + w.losing)
}

// splitVersions makes engines have two versions at least.
func (w *harness) splitVersions() {
	engines := w.engines()
	for _, t := range engines {
		if t.version != engines[0].version {
			return
		}
	}
	for _, t := range engines[:len(engines)/2] {
		w.changeVersion(t, w.otherVersion(t.version))
	}
	<-time.After(2 * versionDelay)
}

// releaseIf makes the targets of other versions than the one that stays go, if that is the release. Before, those of a release in
// which they leave say so.
func (l *loss) releaseIf(due release) {
	for _, t := range l.engines() {
		switch {
		case t.version == l.stays:
		case l.release == leaving && due != leaving:
			l.announce(t, "draining")
		case l.release == due && !l.changeVersion(t, l.stays):
			l.setVersion(t, l.stays)
		}
	}
}

// killAll kills all routers and starts them again.
func (l *loss) killAll() {
	defer l.orders.beginOutage()()
	l.kill(l.routers...)
	l.releaseIf(goneMeanwhile)
	<-time.After(between(l.rng, minDown, maxDown))
	l.restartAll(startTime)
}

// kill kills routers and waits until they have ended.
func (l *loss) kill(routers ...*router) {
	for _, r := range routers {
		l.orders.record(dyingEvent, r)
		l.orders.print("kill", r)
	}
	for _, r := range routers {
		r.awaitEnd()
		l.orders.record(deadEvent, r)
	}
}

// stop stops a router as planned and waits until it has ended.
func (l *loss) stop(r *router) {
	// One that stands still would not stop.
	l.orders.print("wake", r)
	l.stopRouter(r)
	r.awaitEnd()
}

// inTurn ends all routers, each after the one before is ready again.
func (l *loss) inTurn(end func(r *router)) {
	for i, r := range l.routers {
		if i == len(l.routers)/2 {
			l.releaseIf(goneMeanwhile)
		}
		end(r)
		l.bringBack(r)
	}
}

// endTime is the time within which a router that was ordered to end has ended.
const endTime = gracePeriod + startTime

// awaitEnd waits until a router no longer listens.
func (r *router) awaitEnd() {
	for deadline := time.Now().Add(endTime); time.Now().Before(deadline); <-time.After(minDown / 10) {
		c, err := net.Dial("tcp", r.ready)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// bringBack starts a router that has ended until it is ready.
func (w *harness) bringBack(r *router) {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(endTime); !ready(client, r) && time.Now().Before(deadline); <-time.After(eventMargin) {
		w.orders.print("start", r)
	}
}

// outlive begins a stream after a time, leaves it, and takes it up after all routers have ended.
func (c *caller) outlive(l *loss, path string, lead time.Duration) {
	<-time.After(lead)
	a := c.newAttempt(c.drawRouter(), path)
	a.leaveAfter = 1 + c.rng.IntN(eventsPerStream-1)
	s := &streamTries{first: a}
	s.add(a, c.do(a))
	begun := time.Now()
	<-l.ended
	if !s.begun() {
		return
	}
	serves := func() int { return l.servingCount(serviceOf(path), s.writers[0]) }
	serving := serves()
	goesOn := c.persist(func() answer { return c.takeUp(s) })
	serving = min(serving, serves())
	c.recordMixed(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case path == steadyPath && serving > 0:
		l.tallies.steady.add(goesOn)
	case path == resumePath && serving >= minServing && l.at.Sub(begun) > lateBegin:
		l.tallies.lasting.add(goesOn)
	}
}

// beginAfter begins a stream after all routers have ended.
func (c *caller) beginAfter(l *loss) {
	<-l.ended
	begins := c.persist(func() answer { return c.do(c.newAttempt(c.drawRouter(), resumePath)) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tallies.begun.add(begins)
}

// drawRouter returns a random router for a caller.
func (c *caller) drawRouter() *router { return c.harness.routers[c.rng.IntN(len(c.harness.routers))] }

// persist tries until it gets events, and reports whether it does.
func (c *caller) persist(try func() answer) bool {
	until := time.Now().Add(takeUpTime)
	for answers := 0; answers < takeUpTries && time.Now().Before(until); {
		got := try()
		if len(got.writers) > 0 {
			return true
		}
		if got.status != 0 {
			answers++
		}
		<-time.After(max(refusedDelay, got.retryAfter))
	}
	return false
}

// addLoss adds the streams after an end of all routers.
func (l *ledger) addLoss(t lossTallies) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses.steady.join(t.steady)
	l.losses.lasting.join(t.lasting)
	l.losses.begun.join(t.begun)
}

// checkLossesLocked checks that streams went on after all routers had ended. The caller holds the lock.
func (l *ledger) checkLossesLocked() {
	t := l.losses
	lasted := t.lasting.tries < minLasting || t.lasting.share() >= minResumptionRatio*t.begun.share()
	if t.steady.tries < lossStreams/2 || t.steady.share() < minSteadyShare || !lasted {
		l.addViolationLocked("after all routers had ended, too few streams went on: %s", t)
	}
}

// String describes the counts.
func (t lossTallies) String() string {
	return fmt.Sprintf("%s of a service with one version went on, %s of versions with targets; %s new ones began", t.steady, t.lasting, t.begun)
}

// String describes the count.
func (t tally) String() string { return fmt.Sprintf("%d of %d", t.succeeded, t.tries) }

// outage is a time in which no router lives or not all are ready yet. Its end is zero until it has ended.
type outage struct{ from, to time.Time }

// beginOutage records that all routers end. The function that it returns ends the outage.
func (o *orders) beginOutage() (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := len(o.outages)
	o.outages = append(o.outages, outage{from: time.Now()})
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.outages[i].to = time.Now()
	}
}

// unanswered reports whether an attempt got no answer in an outage: such a one says nothing of what routers do.
func (o *orders) unanswered(got answer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, out := range o.outages {
		if got.status == 0 && !got.endedAt.Before(out.from) && (out.to.IsZero() || got.sentAt.Before(out.to)) {
			return true
		}
	}
	return false
}
