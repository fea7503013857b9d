package feed

import (
	"slices"

	"valescale/internal/plat/table"
)

// maxLoggedKeys limits the keys in the change log. It covers several seconds while half of 10,000
// targets are replaced. Sixteen peers request the changes several times a second each.
const maxLoggedKeys = 2048

// changeLog contains the latest changes of a replica in order, so that recent changes are found
// without a scan of all rows.
type changeLog struct {
	entries []logEntry
	// pending contains the changed keys of the page that is being applied.
	pending []table.Key
	// keys is the number of keys in all entries.
	keys int
}

// logEntry contains the keys that changed between two positions.
type logEntry struct {
	from, to table.Position
	keys     []table.Key
}

// add adds a key to the pending entry.
func (l *changeLog) add(key table.Key) { l.pending = append(l.pending, key) }

// commit appends the pending entry.
func (l *changeLog) commit(from, to table.Position) {
	if len(l.pending) == 0 && len(l.entries) > 0 {
		l.entries[len(l.entries)-1].to = to
		return
	}
	l.entries = append(l.entries, logEntry{from: from, to: to, keys: l.pending})
	l.keys += len(l.pending)
	l.pending = nil
	for l.keys > maxLoggedKeys {
		l.keys -= len(l.entries[0].keys)
		l.entries = l.entries[1:]
	}
}

// reset removes all entries, as the replica was replaced.
func (l *changeLog) reset() { *l = changeLog{} }

// since returns the keys that changed after a position, without duplicates; complete is false if the
// log does not reach back that far.
func (l *changeLog) since(at table.Position) (keys []table.Key, complete bool) {
	if len(l.entries) == 0 || at.Before(l.entries[0].from) {
		return nil, false
	}
	for i := len(l.entries) - 1; i >= 0 && at.Before(l.entries[i].to); i-- {
		keys = append(keys, l.entries[i].keys...)
	}
	slices.Sort(keys)
	return slices.Compact(keys), true
}
