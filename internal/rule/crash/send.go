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
	// maxCheckedPerMessage is the maximum number of traits that are checked for a quarantine for one
	// message. Harmless ones beside quarantined ones are blamed for fewer crashes.
	maxCheckedPerMessage = 64
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
		case e.crashes >= e.Kind.threshold():
			unchanged = append(unchanged, e)
		}
	}
	var out []Suspect
	for _, e := range slices.Concat(mostBlamed(changed, maxChangedPerMessage), r.quarantinedInTurn(now, unchanged)) {
		e.sent++
		out = append(out, e.copy())
	}
	return out
}

// mostBlamed returns those of the entries that are blamed for the most crashes, and of these the ones that
// were sent least often.
func mostBlamed(entries []*entry, limit int) []*entry {
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.sent, b.sent), cmp.Compare(a.meanRan, b.meanRan), cmp.Compare(a.Hash, b.Hash))
	})
	return entries[:min(len(entries), limit)]
}

// quarantinedInTurn returns those of the entries that are quarantined and were sent least often.
func (r *Record) quarantinedInTurn(now time.Time, entries []*entry) []*entry {
	quarantined := slices.DeleteFunc(mostBlamed(entries, maxCheckedPerMessage), func(e *entry) bool {
		return r.quarantineLeft(now, e, []Trait{e.Trait}) == 0
	})
	slices.SortFunc(quarantined, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Hash, b.Hash))
	})
	return quarantined[:min(len(quarantined), maxUnchangedPerMessage)]
}
