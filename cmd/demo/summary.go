package main

import (
	"fmt"
	"sync"
	"time"

	"valescale/internal/fake/fleet"
)

// bound is the multiple of the mean load that no engine may exceed by more than
// one request.
const bound = 1.25

// summary is the demo's closing line.
type summary struct {
	Requests        int     `json:"requests"`
	CompleteAnswers int     `json:"complete_answers"`
	WrongAnswers    int     `json:"wrong_answers"`
	FalseNotRun     int     `json:"false_not_run"`
	Repeated        int     `json:"repeated"`
	CutOff          int     `json:"cut_off"`
	MaxLoadRatio    float64 `json:"max_load_ratio"`
	// MaxExcess is the most work that an engine took on above the bound, in requests.
	MaxExcess      float64 `json:"max_excess_requests"`
	CacheReuse     float64 `json:"cache_reuse"`
	ControlBytes   float64 `json:"control_bytes_per_router_second"`
	PolicyInForce  int64   `json:"policy_in_force_ms"`
	LateToLeaving  int     `json:"work_to_leaving_engine"`
	ToldNotRun     int     `json:"told_not_run"`
	ToldUnknown    int     `json:"told_unknown"`
	PermitsPerCall float64 `json:"permit_asks_per_request"`
}

// maxControl is what a router may spend on control traffic, in bytes a second.
const maxControl = 5000

// maxInForce is how long a change may take to be in force everywhere, in milliseconds.
const maxInForce = 6000

func (s summary) broken() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(s.CompleteAnswers > 0, "no answer was complete")
	check(s.WrongAnswers == 0, "%d wrong answers", s.WrongAnswers)
	check(s.FalseNotRun == 0, "%d requests ran that were said not to have", s.FalseNotRun)
	check(s.Repeated == 0, "%d orders ran more than once", s.Repeated)
	check(s.CutOff == 0, "%d answers were cut off by a planned stop", s.CutOff)
	check(s.MaxExcess <= 1, "an engine took %.2f requests above the bound", s.MaxExcess)
	check(s.ControlBytes <= maxControl, "a router spent %.0f bytes a second on control", s.ControlBytes)
	check(s.PolicyInForce <= maxInForce, "a policy took %d ms to be in force", s.PolicyInForce)
	check(s.LateToLeaving == 0, "a leaving engine got %d new requests", s.LateToLeaving)
	return out
}

// gauge watches the engines' running requests and keeps the worst load.
type gauge struct {
	mu      sync.Mutex
	running map[*fleet.Engine]int
	usable  map[*fleet.Engine]bool
	worst   float64
	excess  float64
	late    int
	means   []meanAt
}

// meanAt is the mean load at a time.
type meanAt struct {
	at   time.Time
	mean float64
}

// transit is how long a request may be on its way from the decision to the engine.
// Its load is held against the highest mean of that time.
const transit = 250 * time.Millisecond

// recent notes the present mean and returns the highest of the last moments.
func (g *gauge) recent(mean float64) float64 {
	now := time.Now()
	g.means = append(g.means, meanAt{now, mean})
	old := 0
	for old < len(g.means) && now.Sub(g.means[old].at) > transit {
		old++
	}
	g.means = g.means[old:]
	highest := 0.0
	for _, m := range g.means {
		highest = max(highest, m.mean)
	}
	return highest
}

// minMean is the mean load below which a ratio says little: one request is a large share of it.
const minMean = 4

func newGauge(engines []*fleet.Engine) *gauge {
	g := &gauge{running: map[*fleet.Engine]int{}, usable: map[*fleet.Engine]bool{}}
	for _, e := range engines {
		g.usable[e] = true
		e.Watch(func(running int) { g.note(e, running) })
	}
	return g
}

func (g *gauge) note(e *fleet.Engine, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := running > g.running[e]
	g.running[e] = running
	total, n := 0, 0
	for engine, usable := range g.usable {
		if usable {
			total += g.running[engine]
			n++
		}
	}
	mean := g.recent(float64(total) / float64(n))
	if !began {
		return
	}
	if !g.usable[e] {
		g.late++
		return
	}
	g.excess = max(g.excess, float64(running)-bound*mean)
	if mean >= minMean {
		g.worst = max(g.worst, float64(running)/mean)
	}
}

// leave takes an engine out of the mean: it may not take new work, or soon not.
func (g *gauge) leave(e *fleet.Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usable[e] = false
}

// strict counts work that leaving engines get from now on.
func (g *gauge) strict() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = 0
}

func (g *gauge) lateWork() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.late
}

// ratio is the worst load over mean at an admission.
func (g *gauge) ratio() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.worst
}

// over is the most work that an engine took on above the bound, in requests.
func (g *gauge) over() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.excess
}
