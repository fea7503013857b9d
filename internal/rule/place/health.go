package place

import (
	"slices"
	"time"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
)

const (
	// healthHalfLife is the half-life of request counts. An engine finishes several requests per
	// second, so about ten of them count.
	healthHalfLife = 2 * time.Second
	// minExcessFailures is the number of failures above the expected ones at which an engine is
	// unhealthy. If 8 in 100 requests fail on any engine, one engine in 1,000 has that many in a
	// second.
	minExcessFailures = 3
	// expectedFailureFactor is the multiple of the expected failures that is attributed to chance.
	expectedFailureFactor = 2
	// minFailureRatio is the minimum fraction of failed requests of an unhealthy engine.
	minFailureRatio = 0.2
	// minBlockTime is how long an unhealthy engine receives no new requests. It doubles each time
	// that the engine becomes unhealthy again within maxBlockTime, up to maxBlockTime.
	minBlockTime = 2 * time.Second
	maxBlockTime = 8 * time.Second
)

// record counts the requests of one availability zone's edge routers, or of all, on an engine.
type record struct {
	sent   float64
	failed float64
	// silent is the part of failed for which the engine was only silent.
	silent float64
	// at is the time to which the counts have decayed.
	at time.Time
	// edge reported the latest failure. multiple is set once another edge router reported one too:
	// failures observed by a single edge router may be caused by its own link.
	edge     ident.Router
	multiple bool
	// until is when the engine receives new requests again. blockTime is the length of the block.
	until     time.Time
	blockTime time.Duration
	// silence is set if the engine would not be blocked without the failures for which it was only silent. others is the
	// number of other failures until then and since.
	silence bool
	others  float64
}

// decay reduces earlier counts.
func (r *record) decay(now time.Time) {
	if since := now.Sub(r.at); since > 0 {
		kept := decay.Factor(since, healthHalfLife)
		r.sent *= kept
		r.failed *= kept
		r.silent *= kept
		r.at = now
	}
}

// subtract removes one engine's counts from the record of all engines. Both must have decayed to
// the same time.
func (r *record) subtract(one record) {
	r.sent = max(r.sent-one.sent, 0)
	r.failed = max(r.failed-one.failed, 0)
	r.silent = max(r.silent-one.silent, 0)
}

// addFailure counts a failure that an edge router reported.
func (r *record) addFailure(edge ident.Router, silent bool) {
	r.failed++
	if silent {
		r.silent++
	}
	r.multiple = r.multiple || (r.edge != "" && r.edge != edge)
	r.edge = edge
}

// forgetSilence removes the failures for which the engine was only silent, and the block that they caused.
func (r *record) forgetSilence() {
	r.failed = max(r.failed-r.silent, 0)
	r.silent = 0
	if r.silence {
		r.until, r.blockTime, r.silence = time.Time{}, 0, false
	}
}

// spoken returns the record without the failures for which the engine was only silent.
func (r *record) spoken() *record {
	out := *r
	out.failed -= r.silent
	return &out
}

// addWhileBlocked counts a failure for which the engine was not only silent. Enough of them keep an engine blocked that
// answers again.
func (r *record) addWhileBlocked() {
	r.others++
	if r.others >= minExcessFailures {
		r.silence = false
	}
}

// unhealthy reports whether an engine fails many more requests than the others do.
func (r *record) unhealthy(others record) bool {
	expected := 0.0
	if others.sent > 0 {
		expected = r.sent * min(others.failed/others.sent, 1)
	}
	return r.multiple && r.failed >= minExcessFailures+expectedFailureFactor*expected && r.failed >= minFailureRatio*r.sent
}

// block stops new requests to the engine for a time and resets the counts.
func (r *record) block(now time.Time, silence bool) {
	blockTime := minBlockTime
	if r.blockTime > 0 && now.Sub(r.until) < maxBlockTime {
		blockTime = min(2*r.blockTime, maxBlockTime)
	}
	*r = record{at: now, until: now.Add(blockTime), blockTime: blockTime, silence: silence, others: r.failed - r.silent}
}

// recordKey identifies a record.
type recordKey struct {
	engine ident.TargetHash
	zone   ident.Zone
}

const (
	// allEngines is the engine of records that count all engines.
	allEngines ident.TargetHash = 0
	// allZones is the availability zone of records that count all zones. Edge routers without a
	// known zone count only there.
	allZones ident.Zone = ""
)

// health holds the failures of a shard's engines as reported by all edge routers. An engine can be
// unhealthy for the edge routers of one availability zone only.
type health struct {
	records map[recordKey]*record
	// until is when the last block of an engine ends.
	until time.Time
}

func newHealth() health { return health{records: map[recordKey]*record{}} }

// record returns a record with its counts decayed to now, and creates it if necessary.
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

// sent counts a request from a zone's edge router to an engine.
func (h *health) sent(now time.Time, zone ident.Zone, engine ident.TargetHash) {
	h.record(now, engine, allZones).sent++
	h.record(now, allEngines, allZones).sent++
	if zone != allZones {
		h.record(now, engine, zone).sent++
		h.record(now, allEngines, zone).sent++
	}
}

// failed counts a failed request, for which the engine may only have been silent, and blocks the engine if it has become
// unhealthy.
func (h *health) failed(now time.Time, edge ident.Router, zone ident.Zone, engine ident.TargetHash, silent bool) {
	h.failedIn(now, edge, allZones, engine, silent)
	if zone != allZones {
		h.failedIn(now, edge, zone, engine, silent)
	}
}

// failedWhileBlocked counts a failure of an engine that is blocked already, for which it was not only silent.
func (h *health) failedWhileBlocked(engine ident.TargetHash, zone ident.Zone) {
	if r, known := h.records[recordKey{engine, allZones}]; known {
		r.addWhileBlocked()
	}
	if r, known := h.records[recordKey{engine, zone}]; known && zone != allZones {
		r.addWhileBlocked()
	}
}

// answered removes what an engine's silence has caused for a zone's edge routers, one of which it has answered, and for
// all.
func (h *health) answered(zone ident.Zone, engine ident.TargetHash) {
	h.answeredIn(allZones, engine)
	if zone != allZones {
		h.answeredIn(zone, engine)
	}
}

// answeredIn removes what an engine's silence has caused in the records of one zone, or of all.
func (h *health) answeredIn(zone ident.Zone, engine ident.TargetHash) {
	one, known := h.records[recordKey{engine, zone}]
	if !known {
		return
	}
	if all, ok := h.records[recordKey{allEngines, zone}]; ok {
		one.decay(all.at)
		all.decay(one.at)
		all.subtract(record{failed: one.silent, silent: one.silent})
	}
	one.forgetSilence()
}

// failedIn counts a failure in the records of one zone, or of all.
func (h *health) failedIn(now time.Time, edge ident.Router, zone ident.Zone, engine ident.TargetHash, silent bool) {
	one, all := h.record(now, engine, zone), h.record(now, allEngines, zone)
	one.addFailure(edge, silent)
	all.addFailure(edge, silent)
	others := record{sent: all.sent - one.sent, failed: all.failed - one.failed}
	if one.unhealthy(others) {
		all.subtract(*one)
		one.block(now, !one.spoken().unhealthy(others))
		if one.until.After(h.until) {
			h.until = one.until
		}
	}
}

// blocked reports whether an engine receives no new requests from a zone's edge routers.
func (h *health) blocked(now time.Time, engine ident.TargetHash, zone ident.Zone) bool {
	for _, z := range []ident.Zone{allZones, zone} {
		if r, ok := h.records[recordKey{engine, z}]; ok && now.Before(r.until) {
			return true
		}
	}
	return false
}

// forget removes the records of an engine that was removed or restarted.
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

// RecordAnswers removes what the silences of engines have caused that have answered an edge router since.
func (h *Home) RecordAnswers(zone ident.Zone, engines []ident.TargetHash) {
	for _, engine := range engines {
		h.health.answered(zone, engine)
	}
}

// RecordFailures counts the failed requests of an edge router, one for each listed engine, and
// returns the engines that are blocked from now on. The silent engines are those of the failures for which the
// engine was only silent.
func (h *Home) RecordFailures(now time.Time, edge ident.Router, zone ident.Zone, engines, silent []ident.TargetHash) []ident.TargetHash {
	var blocked []ident.TargetHash
	silent = slices.Clone(silent)
	for _, engine := range engines {
		at := slices.Index(silent, engine)
		if at >= 0 {
			silent = slices.Delete(silent, at, at+1)
		}
		if _, known := h.index[engine]; !known {
			continue
		}
		if h.health.blocked(now, engine, zone) {
			if at < 0 {
				h.health.failedWhileBlocked(engine, zone)
			}
			continue
		}
		h.health.failed(now, edge, zone, engine, at >= 0)
		if h.health.blocked(now, engine, zone) {
			blocked = append(blocked, engine)
		}
	}
	return blocked
}

// blockedEngines lists the engines that receive no new requests from a zone's edge routers because
// they fail many requests or are in backoff.
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
