package crash

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxChangedPerMessage is the maximum number of changed suspects in one message, some 20 bytes
	// each. The requests that ran on one target have fewer traits.
	maxChangedPerMessage = 128
	// maxUnchangedPerMessage is the maximum number of unchanged quarantined traits in one message,
	// selected in turn, so that routers that have just started receive all of them.
	maxUnchangedPerMessage = 4
	// disseminationFactor is the number of messages that include a changed suspect, as a multiple
	// of the binary logarithm of the number of routers.
	disseminationFactor = 3
)

// Outgoing returns the suspects to include in the next message to a peer, given the number of
// routers in the fleet.
func (r *Record) Outgoing(now time.Time, routers int) []Suspect {
	var changed, unchanged []*entry
	for _, e := range r.entries {
		switch {
		case e.sent < disseminationFactor*bits.Len(uint(routers)):
			changed = append(changed, e)
		case r.quarantineLeft(now, e, []Trait{e.Trait}) > 0:
			unchanged = append(unchanged, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.sent, b.sent), cmp.Compare(a.meanRan, b.meanRan), cmp.Compare(a.Hash, b.Hash))
	})
	slices.SortFunc(unchanged, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Hash, b.Hash))
	})
	var out []Suspect
	for _, e := range slices.Concat(changed[:min(len(changed), maxChangedPerMessage)], unchanged[:min(len(unchanged), maxUnchangedPerMessage)]) {
		e.sent++
		out = append(out, e.copy())
	}
	return out
}
