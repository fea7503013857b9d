package main

import (
	"net/http"
	"time"

	"valescale/platform/fake"
)

const (
	// maxSnapshots is the number of store snapshots that are kept, one taken at each fault: the
	// oldest is some seconds old.
	maxSnapshots = 12
	// maxLostVersions is the maximum of configurations that are written right before a store rollback
	// and are therefore certainly lost.
	maxLostVersions = 4
	// applyDelay is the time that routers have to apply the last of these configurations.
	applyDelay = time.Second
	// maxOutage is the maximum time that the store is down before it is restored from an older
	// snapshot.
	maxOutage = 2 * time.Second
	// maxRewriteDelay is the maximum time until the writers of lost rows write them again.
	maxRewriteDelay = 2 * time.Second
	// applyTimeout is the time in which a configuration must be in force and a target whose row was
	// removed must get no more requests: two seconds, and one for a machine under full load.
	applyTimeout = 3 * time.Second
	// observationTime is the time for which that target is observed.
	observationTime = time.Second
)

// saveSnapshot keeps a snapshot of the store for a later rollback.
func (w *harness) saveSnapshot() {
	w.snapshots = append(w.snapshots, w.store.Snapshot())
	w.snapshots = w.snapshots[max(len(w.snapshots)-maxSnapshots, 0):]
}

// rollBackStore makes the store unavailable for a short time and restores it from an older snapshot,
// once or twice. Sometimes the era rises by two, so that routers never see the era in between.
// Routers that serve the latest route must continue to serve it, whatever the store returns.
func (w *harness) rollBackStore() {
	for _, r := range w.routers {
		w.orders.print("wake", r)
	}
	w.storeFaults.Set(fake.Healthy)
	w.store.Fail(0)
	for range 1 + w.rng.IntN(maxLostVersions) {
		w.writeNextConfig()
	}
	time.Sleep(applyDelay)
	w.rollbacks++
	served, latest := w.servingRouters(), w.store.Snapshot()
	for range 1 + w.rng.IntN(2) {
		w.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(time.Duration(w.rng.Int64N(int64(maxOutage))))
		w.store.RollBack(w.snapshots[w.rng.IntN(len(w.snapshots))], 1+w.rng.Int64N(2))
		w.restoreVersions()
		w.store.Fail(0)
		w.checkNoRollback(served)
	}
	time.Sleep(time.Duration(w.rng.Int64N(int64(maxRewriteDelay))))
	w.checkNoRollback(served)
	w.rewriteLost(latest)
	w.checkPropagation()
}

// rewriteLost writes the lost rows of the operator and the targets again, and nothing else: with
// fewer new versions, versions that are assigned again stay below the lost ones for longer.
func (w *harness) rewriteLost(latest fake.Snapshot) {
	if !w.store.RowEquals(latest, "op", "config") {
		w.writeConfig()
	}
	for _, t := range w.targets {
		if t.state != "" && !w.store.RowEquals(latest, "servers", t.id) {
			w.announce(t, t.state)
		}
	}
}

// checkPropagation checks that routers apply changes of a restored store: a removed route is not
// served any more, and a target receives no more requests after its row is removed.
func (w *harness) checkPropagation() {
	before := w.extraID
	t := w.drawTarget()
	w.writeNextConfig()
	time.Sleep(applyTimeout)
	for _, r := range w.routers {
		if w.prober.send(r, w.extraPrefix(before)) == http.StatusOK {
			w.ledger.addViolation("%s serves a route that was removed %s before, after a store rollback", r.name, applyTimeout)
		}
	}
	w.removeRow(t)
	time.Sleep(applyTimeout)
	received := t.handler.receivedCount()
	time.Sleep(observationTime)
	if more := t.handler.receivedCount() - received; more > 0 {
		w.ledger.addViolation("%d requests reached %s %s after its row was removed", more, t.id, applyTimeout)
	}
	w.announce(t, "ready")
}

// servingRouters returns the routers that serve the route that only the latest configuration has.
func (w *harness) servingRouters() []*router {
	var out []*router
	for _, r := range w.routers {
		if w.prober.send(r, w.extraPrefix(w.extraID)) == http.StatusOK {
			out = append(out, r)
		}
	}
	return out
}

// checkNoRollback checks that routers which served the latest route do not answer that it does not
// exist. It needs at least two such routers: a configuration that only one router had may be lost
// with its process.
func (w *harness) checkNoRollback(served []*router) {
	if len(served) < 2 {
		return
	}
	for _, r := range served {
		if status := w.prober.send(r, w.extraPrefix(w.extraID)); status == http.StatusNotFound {
			w.ledger.addViolation("%s reverted to a configuration older than %d, which it had in force", r.name, w.version)
		}
	}
}

// writeNextConfig writes the next configuration: the fixed routes and one that only it has.
func (w *harness) writeNextConfig() {
	w.version += 1 + w.rng.IntN(3)
	w.extraID++
	w.writeConfig()
}

// writeConfig writes the latest configuration, for the first time or again.
func (w *harness) writeConfig() {
	v := w.variation
	fake.ConfigureWith(w.store, w.version, []fake.Route{
		{Prefix: oncePath, Type: "mutating", Service: plainService, Attempts: 1, Timeout: v.timeout},
		{Prefix: safePath, Type: "idempotent", Service: plainService, Attempts: 2, Timeout: v.timeout},
		{Prefix: splitPath, Type: "idempotent", Attempts: 2, Timeout: v.timeout, Split: v.split},
		{Prefix: bigPath, Type: "idempotent", Service: plainService, Attempts: 2},
		{Prefix: uploadPath, Type: "mutating", Service: plainService, Attempts: 1, Timeout: uploadTimeout},
		{Prefix: streamPath, Type: "stream", Service: engineService, Attempts: 1},
		{Prefix: resumePath, Type: "stream", Service: engineService, Attempts: 2, Resumable: true},
		{Prefix: steadyPath, Type: "stream", Service: spareService, Attempts: 2, Resumable: true},
		{Prefix: w.extraPrefix(w.extraID), Type: "idempotent", Service: plainService, Attempts: 2},
	}, v.limits)
}
