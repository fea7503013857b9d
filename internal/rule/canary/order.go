package canary

import (
	"time"

	"valescale/internal/plat/ident"
)

// Order is operators' order to move a service to a version.
type Order struct {
	Service ident.Service
	Version ident.Version
	// Over is how long the move may take.
	Over time.Duration
	// Number tells the order from others for the service.
	Number uint64
}

// State is what became of an order.
type State string

const (
	// Active orders are on trial.
	Active State = "active"
	// Done orders have moved the service.
	Done State = "done"
	// Reverted orders have left the service where it was.
	Reverted State = "reverted"
)

// Status is what the fleet has decided of an order, for good once it is done or reverted.
type Status struct {
	Service ident.Service
	Version ident.Version
	State   State
	// Number is the order's.
	Number uint64
}

const (
	// promoteShare is the part of an order's time that its version gets all requests before the order is done: the
	// others stop at once then, and requests on their way there would be lost.
	promoteShare = 0.04
	// promoteMost bounds that time.
	promoteMost = time.Second
	// doneShare is the part of its time after which an order is done: the word has to reach the store in time.
	doneShare = 0.9
)

// DoneAt is when a sound order that was seen at some time is done.
func (o Order) DoneAt(seen time.Time) time.Time {
	return seen.Add(time.Duration(doneShare * float64(o.Over)))
}

// PromotedAt is from when its version gets all requests.
func (o Order) PromotedAt(seen time.Time) time.Time {
	return o.DoneAt(seen).Add(-min(time.Duration(promoteShare*float64(o.Over)), promoteMost))
}
