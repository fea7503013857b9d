package main

import (
	"net/http"
	"time"

	"valescale/platform/fake"
)

const (
	// mostCopies is how many copies of the store are kept, one a fault: the oldest is some seconds old.
	mostCopies = 12
	// mostLost is how many configurations at most are surely lost.
	mostLost = 4
	// takenTime is how long routers have to put the last of them in force.
	takenTime = time.Second
	// awayTime is how long the store is away at most before it comes back from an older copy.
	awayTime = 2 * time.Second
	// rewriteTime is how long at most until those who wrote something write it again.
	rewriteTime = 2 * time.Second
	// inForceTime is within which time a configuration must be in force and a target that took its row away must
	// get nothing more: two seconds, and one for a machine that is full.
	inForceTime = 3 * time.Second
	// watchTime is for how long that target is watched.
	watchTime = time.Second
)

// remember keeps a copy of the store, for it to come back from.
func (w *world) remember() {
	w.copies = append(w.copies, w.store.Copy())
	w.copies = w.copies[max(len(w.copies)-mostCopies, 0):]
}

// setBack has the store be away for a moment and come back from an older copy, once or twice, now and then over
// an era that nobody hears of. Routers that serve the latest route go on doing so, whatever the store shows.
func (w *world) setBack() {
	for _, r := range w.routers {
		order("wake", r)
	}
	w.storeAt.Set(fake.Sound)
	w.store.Fail(0)
	for range 1 + w.rng.IntN(mostLost) {
		w.configure()
	}
	time.Sleep(takenTime)
	w.setbacks++
	served, latest := w.serving(), w.store.Copy()
	for range 1 + w.rng.IntN(2) {
		w.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(time.Duration(w.rng.Int64N(int64(awayTime))))
		w.store.SetBack(w.copies[w.rng.IntN(len(w.copies))], 1+w.rng.Int64N(2))
		w.store.Fail(0)
		w.checkServing(served)
	}
	time.Sleep(time.Duration(w.rng.Int64N(int64(rewriteTime))))
	w.checkServing(served)
	w.rewrite(latest)
	w.checkFollowing()
}

// rewrite has the operator and the targets write again what the store has lost, and nothing else: the fewer
// versions pass, the longer those that are given out again are below the lost ones.
func (w *world) rewrite(latest fake.Copy) {
	if !w.store.Has(latest, "op", "config") {
		w.write()
	}
	for _, t := range w.targets {
		if t.state != "" && !w.store.Has(latest, "servers", t.id) {
			w.announce(t, t.state)
		}
	}
}

// checkFollowing checks that routers follow a store that has come back: a route that is taken away is gone in
// time, and a target gets nothing more once its row is.
func (w *world) checkFollowing() {
	before := w.extra
	t := w.targets[w.rng.IntN(len(w.targets))]
	w.configure()
	time.Sleep(inForceTime)
	for _, r := range w.routers {
		if w.prober.send(r, w.extraRoute(before)) == http.StatusOK {
			w.ledger.report("%s serves a route that was taken away %s before, after the store came back", r.name, inForceTime)
		}
	}
	t.state = ""
	fake.Withdraw(w.store, t.id)
	time.Sleep(inForceTime)
	arrived := t.work.arrivals()
	time.Sleep(watchTime)
	if more := t.work.arrivals() - arrived; more > 0 {
		w.ledger.report("%d requests reached %s %s after its row was taken away", more, t.id, inForceTime)
	}
	w.announce(t, "ready")
}

// serving lists the routers that serve the route that only the latest configuration has.
func (w *world) serving() []*router {
	var out []*router
	for _, r := range w.routers {
		if w.prober.send(r, w.extraRoute(w.extra)) == http.StatusOK {
			out = append(out, r)
		}
	}
	return out
}

// checkServing checks that routers which served the latest route do not say now that there is none. Two of
// them are wanted: what one alone knew may have gone with its process.
func (w *world) checkServing(served []*router) {
	if len(served) < 2 {
		return
	}
	for _, r := range served {
		if status := w.prober.send(r, w.extraRoute(w.extra)); status == http.StatusNotFound {
			w.ledger.report("%s has gone back behind configuration %d, which it had in force", r.name, w.version)
		}
	}
}

// configure writes the next configuration: the fixed routes and one that only it has.
func (w *world) configure() {
	w.version += 1 + w.rng.IntN(3)
	w.extra++
	w.write()
}

// write writes the latest configuration, or writes it again.
func (w *world) write() {
	fake.Configure(w.store, w.version, []fake.Route{
		{Prefix: oncePath, Type: "mutating", Service: plainService, Attempts: 1},
		{Prefix: safePath, Type: "idempotent", Service: plainService, Attempts: 2},
		{Prefix: streamPath, Type: "stream", Service: engineService, Attempts: 1},
		{Prefix: resumePath, Type: "stream", Service: engineService, Attempts: 2, Resumable: true},
		{Prefix: w.extraRoute(w.extra), Type: "idempotent", Service: plainService, Attempts: 2},
	})
}
