package main

import (
	"fmt"
	"time"

	"valescale/platform/fake"
)

// version is a version of the software of a service's targets.
type version string

// versions are the versions that targets of engineService have in turn; they have no order. What two of
// them write does not fit together.
var versions = []version{"v1", "v1.1", "v1.2"}

const (
	// versionDelay is the time until a target that changes its version listens again. Its row is in the
	// store before that.
	versionDelay = 400 * time.Millisecond
	// rollInterval is the time between two targets that change their version in a series.
	rollInterval = 250 * time.Millisecond
)

const (
	// maxMixed is the maximum of streams that may hold events of two versions.
	maxMixed = 2
	// minResumptions is the number of resumptions from which their share of success is checked, minServing the
	// number of targets of their version that must serve for one to count.
	minResumptions = 12
	minServing     = 2
	// minResumptionRatio is the least ratio of the share of resumptions that go on to the share of new streams
	// that begin.
	minResumptionRatio = 0.5
)

// tally counts tries and those that succeeded.
type tally struct{ tries, succeeded int }

// add counts a try.
func (t *tally) add(succeeded bool) {
	t.tries++
	if succeeded {
		t.succeeded++
	}
}

// join adds another count.
func (t *tally) join(o tally) { t.tries, t.succeeded = t.tries+o.tries, t.succeeded+o.succeeded }

// share returns the share of tries that succeeded.
func (t *tally) share() float64 { return float64(t.succeeded) / float64(max(t.tries, 1)) }

// recordBegin records a new resumable stream, and whether it has begun.
func (l *ledger) recordBegin(begun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begins.add(begun)
}

// recordResumption records a try to resume a stream while some targets of its version were serving.
func (l *ledger) recordResumption(serving int, goesOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if serving >= minServing {
		l.resumptions.add(goesOn)
	}
}

// recordMixed records a stream that holds events of two versions.
func (l *ledger) recordMixed(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mixed = append(l.mixed, description)
}

// checkVersionsLocked checks that streams went on at the version that began them, and that they went on.
// The caller holds the lock.
func (l *ledger) checkVersionsLocked() {
	if len(l.mixed) > maxMixed {
		l.addViolationLocked("%d streams hold events of two versions, such as %q", len(l.mixed), l.mixed[:maxMixed+1])
	}
	if l.resumptions.tries < minResumptions {
		l.addViolationLocked("only %d streams were resumed", l.resumptions.tries)
	}
	if l.resumptions.share() < minResumptionRatio*l.begins.share() {
		l.addViolationLocked("%d of %d streams that were resumed went on, but %d of %d new ones began", l.resumptions.succeeded, l.resumptions.tries,
			l.begins.succeeded, l.begins.tries)
	}
}

// versionSummary returns the numbers of streams that were resumed, and those of two versions.
func (l *ledger) versionSummary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d of %d resumable streams began, %d of %d resumed went on, %d of two versions %q", l.begins.succeeded, l.begins.tries,
		l.resumptions.succeeded, l.resumptions.tries, len(l.mixed), l.mixed)
}

// changeVersion ends a target's process and starts another version under the same id, unless it has ended already.
func (w *harness) changeVersion(t *target, v version) (changed bool) {
	if !w.markDown(t, true) {
		return false
	}
	w.closeServer(t)
	// Routers cannot detect that a row has become wrong while the store does not serve its new value.
	w.storeFaults.Set(fake.Healthy)
	w.store.Fail(0)
	w.setVersion(t, v)
	w.restartAfter(t, versionDelay)
	return true
}

// setVersion makes a target that is down start with a version.
func (w *harness) setVersion(t *target, v version) {
	t.version = v
	t.startedMs++
	t.handler.reset()
	w.announce(t, "ready")
}

// changeOneVersion changes the version of a random target of engineService.
func (w *harness) changeOneVersion() {
	engines := w.engines()
	t := engines[w.rng.IntN(len(engines))]
	w.changeVersion(t, w.otherVersion(t.version))
}

// rollVersions changes all targets of engineService to one version, one after the other.
func (w *harness) rollVersions() {
	v := w.otherVersion(w.engines()[0].version)
	for _, t := range w.engines() {
		if t.version != v {
			w.changeVersion(t, v)
			time.Sleep(rollInterval)
		}
	}
}

// otherVersion returns a random version other than the given one.
func (w *harness) otherVersion(v version) version {
	for {
		if other := versions[w.rng.IntN(len(versions))]; other != v {
			return other
		}
	}
}

// engines returns the targets of engineService.
func (w *harness) engines() []*target {
	var out []*target
	for _, t := range w.targets {
		if t.service == engineService {
			out = append(out, t)
		}
	}
	return out
}

// restoreVersions writes the rows again that a store restored from an older snapshot has with a version
// that their targets no longer have.
func (w *harness) restoreVersions() {
	for _, t := range w.targets {
		if service, stored := fake.TargetVersion(w.store, t.id); service == t.service && stored != string(t.version) {
			w.rewrite(t)
		}
	}
}

// rewrite writes a target's row as the target left it.
func (w *harness) rewrite(t *target) {
	if t.state == "" {
		w.removeRow(t)
		return
	}
	w.announce(t, t.state)
}

// removeRow removes a target's row.
func (w *harness) removeRow(t *target) {
	t.state = ""
	t.handler.setState(t.version, "")
	fake.RemoveTarget(w.store, t.id)
}

// corruptRow corrupts a target's row as another writer of the store could.
func (w *harness) corruptRow(t *target) {
	t.handler.setState(t.version, "")
	fake.CorruptTarget(w.store, t.id, w.rng.Int())
}

// servingCount returns the number of targets of a service and version that serve.
func (w *harness) servingCount(service string, v version) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, t := range w.targets {
		if t.service == service && !t.down && t.faults.Mode() == fake.Healthy && t.handler.serves(v) {
			count++
		}
	}
	return count
}

// serves reports whether the target is ready and of the given version.
func (k *handler) serves(v version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version == v && k.state == "ready" && k.leavingSince.IsZero() && time.Now().After(k.backoffUntil)
}

// setState sets the version and the state that the target's row in the store has.
func (k *handler) setState(v version, state string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes++
	k.version, k.state = v, state
}

// currentVersion returns the target's version.
func (k *handler) currentVersion() version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}
