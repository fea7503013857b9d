package place

import "valescale/internal/plat/ident"

// Rule is the rule by which a request was placed.
type Rule int

const (
	// WithinBound places a request on an engine below the load bound.
	WithinBound Rule = iota + 1
	// LeastLoaded places a request on the least loaded engine because all requested shards are at
	// the bound.
	LeastLoaded
	// BeyondSlots places a request beyond an engine's slots after it waited without success for a
	// permit release in its shard.
	BeyondSlots
	// WithoutHome places a request on an edge router without a home.
	WithoutHome
)

// String returns the name of the rule in logs.
func (r Rule) String() string {
	switch r {
	case WithinBound:
		return "bound"
	case LeastLoaded:
		return "least_loaded"
	case BeyondSlots:
		return "beyond_slots"
	case WithoutHome:
		return "alone"
	default:
		return ""
	}
}

// Basis holds the inputs of a placement decision for logs. It shows whether a wrong placement was
// caused by the rule or by wrong counts.
type Basis struct {
	Rule Rule
	// Load is the work counted on the engine. Mean is the average work on the pool's usable
	// engines. Both include the request itself.
	Load ident.Work
	Mean ident.Work
}

// basis returns the inputs of a placement after the request was counted.
func (h *Home) basis(req Request, total ident.Work, e *engineLoad) Basis {
	b := Basis{Rule: WithinBound, Load: e.load(), Mean: total / ident.Work(max(h.poolEngines, 1))}
	switch {
	case req.Over:
		b.Rule = BeyondSlots
	case req.MustPlace:
		b.Rule = LeastLoaded
	}
	return b
}
