package place

import "valescale/internal/plat/ident"

// Rule says which of the rules for placing a request decided.
type Rule int

const (
	// WithinBound requests go to an engine below the load bound.
	WithinBound Rule = iota + 1
	// LeastLoaded requests must be placed: all shards that were asked are at the bound.
	LeastLoaded
	// BeyondSlots requests waited in vain at a shard that gave nothing back.
	BeyondSlots
	// Alone requests were placed by a router without a home.
	Alone
)

// String returns the rule as logs name it.
func (r Rule) String() string {
	switch r {
	case WithinBound:
		return "bound"
	case LeastLoaded:
		return "least_loaded"
	case BeyondSlots:
		return "beyond_slots"
	case Alone:
		return "alone"
	default:
		return ""
	}
}

// Basis is what a placement was decided from, for logs: a wrong placement comes from the rule
// or from wrong counts.
type Basis struct {
	Rule Rule
	// Load is the work counted on the engine and Mean that on the pool's usable engines on
	// average, both with the request itself.
	Load ident.Work
	Mean ident.Work
}

// basis is what a home has just placed a request from, the request being counted.
func (h *Home) basis(req Request, total ident.Work, e *engineLoad) Basis {
	b := Basis{Rule: WithinBound, Load: e.load(), Mean: total / ident.Work(max(h.poolEngines, 1))}
	switch {
	case req.Over:
		b.Rule = BeyondSlots
	case req.Must:
		b.Rule = LeastLoaded
	}
	return b
}
