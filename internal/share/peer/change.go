package peer

import "slices"

// mostChanges is how many changes are remembered: several times what comes between two looks at the view while half
// of 10,000 targets are replaced.
const mostChanges = 4096

// changes remembers what changed lately, so that whoever follows looks at nothing else.
type changes[K comparable] struct {
	// count is of all changes so far, keys are of the latest of them.
	count uint64
	keys  []K
}

// note adds a change.
func (c *changes[K]) note(key K) {
	c.count++
	if len(c.keys) >= 2*mostChanges {
		c.keys = slices.Clone(c.keys[mostChanges:])
	}
	c.keys = append(c.keys, key)
}

// since returns what changed after a count, which is the caller's to change; known is false if not all of it is remembered.
func (c *changes[K]) since(count uint64) (keys []K, known bool) {
	if count > c.count || c.count-count > uint64(len(c.keys)) {
		return nil, false
	}
	return slices.Clone(c.keys[len(c.keys)-int(c.count-count):]), true
}
