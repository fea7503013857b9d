package peer

import "slices"

// maxChanges is the number of recent changes that the log is truncated to once it contains twice as
// many. It is several times the number of changes between two reads of the view while half of
// 10,000 targets are replaced.
const maxChanges = 4096

// changes is a bounded log of the keys that changed, so that a reader processes only what changed
// since its last read.
type changes[K comparable] struct {
	// count is the number of all changes so far; keys contains the latest of them.
	count uint64
	keys  []K
}

// add records a change.
func (c *changes[K]) add(key K) {
	c.count++
	if len(c.keys) >= 2*maxChanges {
		c.keys = slices.Clone(c.keys[maxChanges:])
	}
	c.keys = append(c.keys, key)
}

// since returns a copy of the keys that changed after the given count; known is false if the log no
// longer contains all of them.
func (c *changes[K]) since(count uint64) (keys []K, known bool) {
	if count > c.count || c.count-count > uint64(len(c.keys)) {
		return nil, false
	}
	return slices.Clone(c.keys[len(c.keys)-int(c.count-count):]), true
}
