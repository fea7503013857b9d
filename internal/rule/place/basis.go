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
	// Shortest places a request on the engine below the load bound where it costs the least time.
	Shortest
	// LeftLate places a request on another engine than the one with its prefix cached, where the
	// first byte may arrive too late.
	LeftLate
	// LeftSlow does the same because the answer takes much longer there.
	LeftSlow
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
	case Shortest:
		return "shortest"
	case LeftLate:
		return "left_late"
	case LeftSlow:
		return "left_slow"
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

// basis returns the inputs of a placement after the request was counted. rule is the rule by which the
// engine was selected, or zero.
func (h *Home) basis(req Request, rule Rule, total ident.Work, e *engineLoad) Basis {
	b := Basis{Rule: max(rule, WithinBound), Load: e.load(), Mean: total / ident.Work(max(h.poolEngines, 1))}
	switch {
	case req.Over:
		b.Rule = BeyondSlots
	case req.MustPlace:
		b.Rule = LeastLoaded
	}
	return b
}
