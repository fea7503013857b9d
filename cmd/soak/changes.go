package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"valescale/platform/fake"
)

// changesStream selects the random numbers of the second schedule, whose faults overlap with those of the first.
const changesStream = 1 << 20

// spareTargets is the number of targets of spareService, which only silences meet.
const spareTargets = 2

const (
	// longIdle and shortIdle are the idle times of callers' connections between which configurations alternate.
	longIdle  = 15 * time.Second
	shortIdle = 200 * time.Millisecond
	// minChangeInterval and maxChangeInterval limit the time between two configurations of a series.
	minChangeInterval = 60 * time.Millisecond
	maxChangeInterval = 400 * time.Millisecond
	// minSeries and maxSeries limit the number of configurations in a series.
	minSeries = 8
	maxSeries = 24
	// usualTimeout and shortTimeout limit the time-out of the routes that configurations change.
	usualTimeout = 3 * time.Second
	shortTimeout = 2 * time.Second
	// maxWeight is the maximum weight of a service in the split of a route.
	maxWeight = 5
	// standstill is how long a router stands still.
	standstill = 800 * time.Millisecond
	// killTime is the time until a killed router has ended.
	killTime = 200 * time.Millisecond
	// minReloadAge and maxReloadAge limit the age of a process that gets an early order to reload. Younger
	// ones may not have come to the router's own code yet, which takes the system and the runtime some milliseconds.
	minReloadAge = 12 * time.Millisecond
	maxReloadAge = 20 * time.Millisecond
	// startTime is the time in which a router that starts listens.
	startTime = 3 * time.Second
)

// variation is what configurations vary in beside their routes.
type variation struct {
	limits  fake.Limits
	timeout time.Duration
	split   []fake.Share
}

// callerKey is the API key of all callers.
const callerKey = "k"

// usualVariation returns the variation without a series of changes.
func usualVariation() variation {
	return variation{
		limits: fake.Limits{Idle: longIdle, Keys: []string{callerKey}}, timeout: usualTimeout,
		split: []fake.Share{{Service: plainService, Weight: 1}, {Service: spareService, Weight: 1}},
	}
}

// next returns a random variation with the other idle time.
func (v variation) next(rng *rand.Rand) variation {
	out := usualVariation()
	if v.limits.Idle == longIdle {
		out.limits.Idle = shortIdle
	}
	out.timeout = between(rng, shortTimeout, usualTimeout)
	for i := range out.split {
		out.split[i].Weight = 1 + rng.IntN(maxWeight)
	}
	for _, key := range []string{"k2", "k3"} {
		if rng.IntN(2) == 0 {
			out.limits.Keys = append(out.limits.Keys, key)
		}
	}
	return out
}

// between returns a random time between two others.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// startChanges runs the second schedule until a time. The function that it returns waits for its end.
func (w *harness) startChanges(until time.Time) (wait func()) {
	var group sync.WaitGroup
	group.Go(func() {
		// The stop comes first, so that it has ended when the faults are cleared.
		w.changeOnce(w.uploadBesideStop)
		steps := w.changeSteps(&group, until)
		for {
			for _, i := range w.changesRng.Perm(len(steps)) {
				if !time.Now().Before(until) {
					return
				}
				w.changeOnce(steps[i])
				<-time.After(between(w.changesRng, 100*time.Millisecond, 400*time.Millisecond))
			}
		}
	})
	return group.Wait
}

// changeOnce makes one step, beside no rollback of the store.
func (w *harness) changeOnce(step func()) {
	w.operator.Lock()
	defer w.operator.Unlock()
	step()
}

// changeSteps returns the steps of the second schedule, which ends at a time. Each round has each of them once. They run under the
// operator's lock; what they start belongs to the group or to the callers.
func (w *harness) changeSteps(group *sync.WaitGroup, until time.Time) []func() {
	return []func(){
		func() { w.silenceSome(1) },
		func() { w.silenceSome(2 + w.changesRng.IntN(2)) },
		w.silenceService,
		func() { w.repeatSilence(group) },
		func() { w.startSeries(group) },
		w.standStill,
		func() { w.orders.print("reload", w.drawRouter()) },
		w.reloadEarly,
		w.connectEarly,
		func() {
			if time.Until(until) > maxUpload {
				w.uploadBesideStop()
			}
		},
	}
}

// drawRouter returns a random router for the second schedule.
func (w *harness) drawRouter() *router { return w.routers[w.changesRng.IntN(len(w.routers))] }

// silenceSome makes some random targets fall silent.
func (w *harness) silenceSome(count int) {
	for _, i := range w.changesRng.Perm(len(w.targets))[:count] {
		w.silenceAtRandom(w.targets[i])
	}
}

// silenceAtRandom makes a target fall silent at a random point.
func (w *harness) silenceAtRandom(t *target) {
	points := plainPoints
	if t.service == engineService {
		points = streamPoints
	}
	t.handler.silenceAt(points[w.changesRng.IntN(len(points))])
}

// silenceService makes all targets of a random service fall silent at once.
func (w *harness) silenceService() {
	service := []string{plainService, engineService}[w.changesRng.IntN(2)]
	for _, t := range w.targets {
		if t.service == service {
			t.handler.silenceAt(atOnce)
		}
	}
}

// repeatSilence makes a random target fall silent some times, with pauses in between.
func (w *harness) repeatSilence(group *sync.WaitGroup) {
	t := w.targets[w.changesRng.IntN(len(w.targets))]
	rng := rand.New(rand.NewPCG(w.Seed, w.changesRng.Uint64()))
	group.Go(func() {
		for range 3 {
			t.handler.silenceAt(atOnce)
			<-time.After(between(rng, maxSilence, 2*maxSilence))
		}
	})
}

// startSeries starts a quick series of configurations.
func (w *harness) startSeries(group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(w.Seed, w.changesRng.Uint64()))
	group.Go(func() {
		for range minSeries + rng.IntN(maxSeries-minSeries) {
			w.changeOnce(func() {
				w.variation = w.variation.next(rng)
				w.version++
				w.writeConfig()
			})
			<-time.After(between(rng, minChangeInterval, maxChangeInterval))
		}
	})
}

// standStill makes a router stand still.
func (w *harness) standStill() {
	r := w.drawRouter()
	w.orders.print("pause", r)
	<-time.After(standstill)
	w.orders.print("wake", r)
}

// reloadEarly starts a router again and orders it to reload its settings right after that.
func (w *harness) reloadEarly() {
	r := w.drawRouter()
	w.orders.print("kill", r)
	<-time.After(killTime)
	w.orders.print("start", r)
	age := between(w.changesRng, minReloadAge, maxReloadAge)
	started := time.Now()
	<-time.After(age)
	w.orders.print("reload", r)
	go w.checkListens(r, started, age)
}

// checkListens prints whether a router which was ordered to reload early does not listen, unless it gets other orders.
func (w *harness) checkListens(r *router, started time.Time, age time.Duration) {
	for time.Since(started) < startTime {
		if w.orders.had(r, started, time.Now(), "kill", "term", "pause") {
			return
		}
		if c, err := net.Dial("tcp", r.ready); err == nil {
			_ = c.Close()
			return
		}
		<-time.After(eventMargin)
	}
	// Until the program's own code runs, the system's default applies: KNOWN-RED.txt.
	fmt.Printf("known: %s does not listen %s after its start, in which it was ordered to reload after %s\n", r.name, startTime, age)
}
