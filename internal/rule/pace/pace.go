package pace

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Pace is the time that work takes at a target as a multiple of the usual time: 2 means twice as
// long. Zero means unknown.
type Pace float64

const (
	// Usual is the pace at which work takes its usual time.
	Usual Pace = 1
	// minPace and maxPace are the limits of plausible paces. Values outside carry no information.
	minPace Pace = 0.1
	maxPace Pace = 50
)

// Valid reports whether a pace is plausible.
func (p Pace) Valid() bool { return p >= minPace && p <= maxPace }

// clamp limits a pace to plausible values.
func (p Pace) clamp() Pace { return min(max(p, minPace), maxPace) }

// Report is what an edge router learned about a target since its previous report.
type Report struct {
	Target ident.TargetHash
	// Reported is the latest pace that the target reported, zero if it reported none, and Age the time
	// since then.
	Reported Pace
	Age      time.Duration
	// Took is the time that finished work took, and Expected the time that it usually takes at the pace
	// that the target reported with it, or at the usual pace if it reported none.
	Took     time.Duration
	Expected time.Duration
}

// merge adds a later report about the same target.
func (r Report) merge(later Report) Report {
	if later.Reported != 0 {
		r.Reported, r.Age = later.Reported, later.Age
	}
	r.Took += later.Took
	r.Expected += later.Expected
	return r
}

// Level is the usual pace of the targets of a shard. Only differences from it matter: if all targets
// become slow, none is preferred.
type Level struct {
	// reported is the median of the reported paces, measured that of the measured ones. Zero means
	// unknown.
	reported Pace
	measured Pace
}

// NewLevel returns the level of the given gauges.
func NewLevel(now time.Time, gauges []*Gauge) Level {
	var reported, measured []Pace
	for _, g := range gauges {
		if g.usual > 0 {
			reported = append(reported, g.usual)
		}
		if p, known := g.averageMeasured(now); known {
			measured = append(measured, p)
		}
	}
	return Level{reported: median(reported), measured: median(measured)}
}

// median returns the median of paces, the lower one of an even number, or zero for none. It sorts
// its argument.
func median(paces []Pace) Pace {
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}
