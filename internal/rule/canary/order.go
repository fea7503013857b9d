package canary

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Order is an operator's instruction to roll out a version of a service.
type Order struct {
	Service ident.Service
	Version ident.Version
	// Period is the duration of the rollout.
	Period time.Duration
	// Number identifies the order among those of the service. It depends on the era of the store in
	// which the order was read; FormerNumbers are those that it had if it was read in earlier eras.
	Number        uint64
	FormerNumbers []uint64
	// Era is the era of the store in which the order was read.
	Era table.Era
}

// Rereads reports whether o may be the same order as an earlier one, read again in the same or in a later
// era. It may also be another order of the same version, if a store that was restored from an older snapshot
// has given it the number of one that it lost.
func (o Order) Rereads(earlier Order) bool {
	return o.Version == earlier.Version && o.Period == earlier.Period && o.hasNumber(earlier.Number)
}

// hasNumber reports whether the order has, or had in an earlier era, a number.
func (o Order) hasNumber(number uint64) bool {
	return o.Number == number || slices.Contains(o.FormerNumbers, number)
}

// State is the state of a rollout.
type State string

const (
	// Active rollouts have not been decided.
	Active State = "active"
	// Done rollouts have moved the service to the version.
	Done State = "done"
	// Reverted rollouts have left the service on its earlier version.
	Reverted State = "reverted"
)

// Status is the decision of the fleet on a rollout. It is final once the state is Done or Reverted.
type Status struct {
	Service ident.Service
	Version ident.Version
	State   State
	// Number identifies the order of the rollout. It is that in the era in which the status was written.
	Number uint64
	// Era is the era of the store in which the status was read.
	Era table.Era
}

// BelongsTo reports whether the status is that of an order, in whatever era it was written. A status that was
// last read in an earlier era than the order may be that of an order that the store has lost.
func (s Status) BelongsTo(o Order) bool {
	return s.Era >= o.Era && s.Version == o.Version && o.hasNumber(s.Number)
}

// Final reports whether the rollout is decided.
func (s Status) Final() bool { return s.State == Done || s.State == Reverted }

const (
	// promotionRatio is the part of a rollout's duration, at its end, in which the canary receives
	// all requests. Targets of other versions stop as soon as the rollout is done, and requests
	// still in flight to them would be lost.
	promotionRatio = 0.04
	// maxPromotionTime is the maximum length of that period.
	maxPromotionTime = time.Second
	// doneRatio is the part of a rollout's duration after which it is done. The rest is left for
	// writing the decision to the store.
	doneRatio = 0.9
)

// DoneAt returns the time at which the rollout is done, if the canary is sound, given the time at
// which the order was first read.
func (o Order) DoneAt(readAt time.Time) time.Time {
	return readAt.Add(time.Duration(doneRatio * float64(o.Period)))
}

// PromotedAt returns the time from which the canary receives all requests.
func (o Order) PromotedAt(readAt time.Time) time.Time {
	return o.DoneAt(readAt).Add(-min(time.Duration(promotionRatio*float64(o.Period)), maxPromotionTime))
}
