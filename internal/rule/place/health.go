package place

import (
	"time"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
)

const (
	// healthHalfLife is after how long what was seen of an engine counts half: a pool's
	// engine ends several requests a second, so that some ten of them are remembered.
	healthHalfLife = 2 * time.Second
	// leastFailures is how many failures beyond those expected make an engine poor. At 8 in
	// 100 requests that fail wherever they run, one engine in 1,000 has as many in a second.
	minExcessFailures = 3
	// failureDoubt is the multiple of the failures expected that still counts as chance.
	expectedFailureFactor = 2
	// failureShare is the least part of an engine's requests that fail when it is poor.
	minFailureRatio = 0.2
	// poorPause is how long a poor engine gets no new work; it doubles each time that the
	// engine turns out poor again soon after, up to poorMost.
	minBlockTime = 2 * time.Second
	maxBlockTime = 8 * time.Second
)

// record counts the requests of one availability zone's edges, or of all, at an engine.
type record struct {
	sent   float64
	failed float64
	// at is until when the counts have decayed.
	at time.Time
	// edge reported the latest failure; several is set once another did too. What a single
	// edge sees may be its own link's fault.
	edge     ident.Router
	multiple bool
	// until is until when the engine gets no new work, pause how long that is.
	until     time.Time
	blockTime time.Duration
}

// decay lets what was counted earlier count less.
func (r *record) decay(now time.Time) {
	if since := now.Sub(r.at); since > 0 {
		kept := decay.Kept(since, healthHalfLife)
		r.sent *= kept
		r.failed *= kept
		r.at = now
	}
}

// take leaves out of the record of all engines what one of them did, which must have
// decayed as far.
func (r *record) subtract(one record) {
	r.sent = max(r.sent-one.sent, 0)
	r.failed = max(r.failed-one.failed, 0)
}

// blame counts a failure that an edge saw.
func (r *record) addFailure(edge ident.Router) {
	r.failed++
	r.multiple = r.multiple || (r.edge != "" && r.edge != edge)
	r.edge = edge
}

// poor reports whether an engine fails many more requests than the others do.
func (r *record) unhealthy(others record) bool {
	expected := 0.0
	if others.sent > 0 {
		expected = r.sent * min(others.failed/others.sent, 1)
	}
	return r.multiple && r.failed >= minExcessFailures+expectedFailureFactor*expected && r.failed >= minFailureRatio*r.sent
}

// block keeps new work off for a pause and starts the counts anew.
func (r *record) block(now time.Time) {
	blockTime := minBlockTime
	if r.blockTime > 0 && now.Sub(r.until) < maxBlockTime {
		blockTime = min(2*r.blockTime, maxBlockTime)
	}
	*r = record{at: now, until: now.Add(blockTime), blockTime: blockTime}
}

// recordKey names a record.
type recordKey struct {
	engine ident.TargetHash
	zone   ident.Zone
}

const (
	// allEngines is the engine of the records of all of them together.
	allEngines ident.TargetHash = 0
	// allZones is the availability zone of the records of all of them together; edges that
	// have not told theirs count only there.
	allZones ident.Zone = ""
)

// health is what the edges together have seen of a shard's engines. An engine can be
// poor for the edges of one availability zone only.
type health struct {
	records map[recordKey]*record
	// until is until when any engine is blocked.
	until time.Time
}

// newHealth returns one that has seen nothing.
func newHealth() health { return health{records: map[recordKey]*record{}} }

// record returns a record with its counts decayed to now, made on first use.
func (h *health) record(now time.Time, engine ident.TargetHash, zone ident.Zone) *record {
	key := recordKey{engine, zone}
	r, ok := h.records[key]
	if !ok {
		r = &record{at: now}
		h.records[key] = r
	}
	r.decay(now)
	return r
}

// sent notes that an engine got a request of a zone's edge.
func (h *health) sent(now time.Time, zone ident.Zone, engine ident.TargetHash) {
	h.record(now, engine, allZones).sent++
	h.record(now, allEngines, allZones).sent++
	if zone != allZones {
		h.record(now, engine, zone).sent++
		h.record(now, allEngines, zone).sent++
	}
}

// failed notes that an engine failed a request, and blocks it if it has become poor.
func (h *health) failed(now time.Time, edge ident.Router, zone ident.Zone, engine ident.TargetHash) {
	h.failedIn(now, edge, allZones, engine)
	if zone != allZones {
		h.failedIn(now, edge, zone, engine)
	}
}

// failedIn notes a failure in the records of one zone, or of all.
func (h *health) failedIn(now time.Time, edge ident.Router, zone ident.Zone, engine ident.TargetHash) {
	one, all := h.record(now, engine, zone), h.record(now, allEngines, zone)
	one.addFailure(edge)
	all.addFailure(edge)
	if one.unhealthy(record{sent: all.sent - one.sent, failed: all.failed - one.failed}) {
		all.subtract(*one)
		one.block(now)
		if one.until.After(h.until) {
			h.until = one.until
		}
	}
}

// blocked reports whether an engine gets no new work of a zone's edges.
func (h *health) blocked(now time.Time, engine ident.TargetHash, zone ident.Zone) bool {
	for _, z := range []ident.Zone{allZones, zone} {
		if r, ok := h.records[recordKey{engine, z}]; ok && now.Before(r.until) {
			return true
		}
	}
	return false
}

// forget drops the records of an engine that is gone.
func (h *health) forget(engine ident.TargetHash) {
	for key, one := range h.records {
		if key.engine != engine {
			continue
		}
		if all, ok := h.records[recordKey{allEngines, key.zone}]; ok {
			one.decay(all.at)
			all.subtract(*one)
		}
		delete(h.records, key)
	}
}

// Blame notes the engines that failed requests of an edge, as often as they are listed,
// and returns those that get no new work from now on.
func (h *Home) Blame(now time.Time, edge ident.Router, zone ident.Zone, engines []ident.TargetHash) []ident.TargetHash {
	var blocked []ident.TargetHash
	for _, engine := range engines {
		if _, known := h.index[engine]; !known || h.health.blocked(now, engine, zone) {
			continue
		}
		h.health.failed(now, edge, zone, engine)
		if h.health.blocked(now, engine, zone) {
			blocked = append(blocked, engine)
		}
	}
	return blocked
}

// poor lists the engines that get no new work of a zone's edges because they fail many
// requests, or want none.
func (h *Home) blockedEngines(now time.Time, zone ident.Zone) []ident.TargetHash {
	if !now.Before(h.health.until) && !now.Before(h.backoffs.until) {
		return nil
	}
	var out []ident.TargetHash
	for i := range h.engines {
		e := &h.engines[i]
		if e.usable() && (h.health.blocked(now, e.Hash, zone) || h.backoffs.blocks(now, e.Hash, zone)) {
			out = append(out, e.Hash)
		}
	}
	return out
}
