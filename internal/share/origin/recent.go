package origin

import "time"

// maxRecords limits the number of origins that a router keeps, its own and those of which it is a keeper.
// That is 300 streams a second for three times their lifetime, in 15 MB.
const maxRecords = 1 << 16

// entry is an origin with the time at which it was last recorded.
type entry struct {
	Origin
	at time.Time
	// own is set if the stream began at this router.
	own bool
	// expected is set if it is only known at which version the stream was expected to begin.
	expected bool
}

// insertion is one recording of an origin, in order of time.
type insertion struct {
	key Key
	at  time.Time
}

// recentOrigins holds origins until they expire. It is not safe for concurrent use.
type recentOrigins struct {
	entries map[Key]entry
	order   []insertion
}

func newRecentOrigins() *recentOrigins { return &recentOrigins{entries: map[Key]entry{}} }

// put records an origin and evicts those that have expired.
func (t *recentOrigins) put(now time.Time, r Record, own bool) {
	t.evict(now)
	known, exists := t.entries[r.Key]
	t.entries[r.Key] = entry{Origin: r.Origin, at: now, own: own || exists && known.own}
	t.order = append(t.order, insertion{key: r.Key, at: now})
}

// putExpected records at which version a stream was expected to begin, unless more is known.
func (t *recentOrigins) putExpected(now time.Time, r Record) {
	if _, known := t.get(now, r.Key); known {
		return
	}
	t.put(now, r, false)
	e := t.entries[r.Key]
	e.expected = true
	t.entries[r.Key] = e
}

// onlyExpected reports whether a stream is only expected.
func (t *recentOrigins) onlyExpected(key Key) bool { return t.entries[key].expected }

// get returns an origin that has not expired.
func (t *recentOrigins) get(now time.Time, key Key) (Origin, bool) {
	e, exists := t.entries[key]
	return e.Origin, exists && now.Sub(e.at) < Lifetime
}

// evict removes the origins that have expired, and the oldest ones beyond maxRecords.
func (t *recentOrigins) evict(now time.Time) {
	for len(t.order) > 0 && (now.Sub(t.order[0].at) >= Lifetime || len(t.order) >= maxRecords) {
		oldest := t.order[0]
		t.order = t.order[1:]
		if t.entries[oldest.key].at.Equal(oldest.at) {
			delete(t.entries, oldest.key)
		}
	}
}

// ownRecords returns the origins of the streams of a service that began at this router.
func (t *recentOrigins) ownRecords(now time.Time, of func(Origin) bool) []Record {
	var out []Record
	for key, e := range t.entries {
		if e.own && of(e.Origin) && now.Sub(e.at) < Lifetime {
			out = append(out, Record{Key: key, Origin: e.Origin})
		}
	}
	return out
}
