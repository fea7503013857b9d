package canary

import (
	"time"

	"valescale/internal/plat/ident"
)

// Order is an operator's instruction to roll out a version of a service.
type Order struct {
	Service ident.Service
	Version ident.Version
	// Period is the duration of the rollout.
	Period time.Duration
	// Number identifies the order among those of the service.
	Number uint64
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
	// Number identifies the order of the rollout.
	Number uint64
}

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
