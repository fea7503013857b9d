package main

import (
	"fmt"
	"sync"
	"time"

	"valescale/internal/fake/fleet"
)

// loadFactor is the multiple of the mean load that no engine may exceed by more than one request.
const loadFactor = 1.25

// summary is the last line of the output.
type summary struct {
	Requests        int     `json:"requests"`
	CompleteAnswers int     `json:"complete_answers"`
	WrongAnswers    int     `json:"wrong_answers"`
	FalseNotRun     int     `json:"false_not_run"`
	Repeated        int     `json:"repeated"`
	CutOff          int     `json:"cut_off"`
	MaxLoadRatio    float64 `json:"max_load_ratio"`
	// MaxExcess is the maximum load of an engine above the bound, in requests.
	MaxExcess                float64 `json:"max_excess_requests"`
	CacheReuse               float64 `json:"cache_reuse"`
	ControlBytes             float64 `json:"control_bytes_per_router_second"`
	PolicyInForceMs          int64   `json:"policy_in_force_ms"`
	RequestsToLeaving        int     `json:"work_to_leaving_engine"`
	ToldNotRun               int     `json:"told_not_run"`
	ToldUnknown              int     `json:"told_unknown"`
	PermitRequestsPerRequest float64 `json:"permit_asks_per_request"`
}

// maxControlBytes is the maximum of control traffic of one router, in bytes per second.
const maxControlBytes = 5000

// maxInForceMs is the maximum time until a change is in force on all routers, in milliseconds.
const maxInForceMs = 6000

func (s summary) violations() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(s.CompleteAnswers > 0, "no complete answer")
	check(s.WrongAnswers == 0, "%d wrong answers", s.WrongAnswers)
	check(s.FalseNotRun == 0, "%d requests were executed although their callers received a not-run outcome", s.FalseNotRun)
	check(s.Repeated == 0, "%d orders were executed more than once", s.Repeated)
	check(s.CutOff == 0, "%d answers were cut off by a graceful stop", s.CutOff)
	check(s.MaxExcess <= 1, "the load of an engine exceeded the bound by %.2f requests", s.MaxExcess)
	check(s.ControlBytes <= maxControlBytes, "control traffic of a router was %.0f bytes/s", s.ControlBytes)
	check(s.PolicyInForceMs <= maxInForceMs, "a policy was in force only after %d ms", s.PolicyInForceMs)
	check(s.RequestsToLeaving == 0, "a leaving engine got %d new requests", s.RequestsToLeaving)
	return out
}

// loadTracker observes the running requests of the engines and keeps the maximum load.
type loadTracker struct {
	mu          sync.Mutex
	running     map[*fleet.Engine]int
	usable      map[*fleet.Engine]bool
	worstRatio  float64
	worstExcess float64
	late        int
	means       []meanSample
}

// meanSample is the mean load at one time.
type meanSample struct {
	at   time.Time
	mean float64
}

// maxTransit is the maximum time from the placement of a request to its arrival at the engine.
// The load at the arrival is compared with the highest mean within that time.
const maxTransit = 250 * time.Millisecond

// recentMax adds the present mean and returns the highest within maxTransit.
func (g *loadTracker) recentMax(mean float64) float64 {
	now := time.Now()
	g.means = append(g.means, meanSample{now, mean})
	old := 0
	for old < len(g.means) && now.Sub(g.means[old].at) > maxTransit {
		old++
	}
	g.means = g.means[old:]
	highest := 0.0
	for _, m := range g.means {
		highest = max(highest, m.mean)
	}
	return highest
}

// minMean is the mean load below which the ratio is not recorded: there, one request is a large
// share of the load.
const minMean = 4

func newLoadTracker(engines []*fleet.Engine) *loadTracker {
	g := &loadTracker{running: map[*fleet.Engine]int{}, usable: map[*fleet.Engine]bool{}}
	for _, e := range engines {
		g.usable[e] = true
		e.Watch(func(running int) { g.record(e, running) })
	}
	return g
}

func (g *loadTracker) record(e *fleet.Engine, running int) {
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
	mean := g.recentMax(float64(total) / float64(n))
	if !began {
		return
	}
	if !g.usable[e] {
		g.late++
		return
	}
	g.worstExcess = max(g.worstExcess, float64(running)-loadFactor*mean)
	if mean >= minMean {
		g.worstRatio = max(g.worstRatio, float64(running)/mean)
	}
}

// exclude removes an engine from the mean, because it accepts no new work or soon won't.
func (g *loadTracker) exclude(e *fleet.Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usable[e] = false
}

// resetLate restarts the count of requests that leaving engines get.
func (g *loadTracker) resetLate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = 0
}

func (g *loadTracker) lateCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.late
}

// maxRatio returns the maximum ratio of load to mean load at an admission.
func (g *loadTracker) maxRatio() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.worstRatio
}

// maxExcess returns the maximum load of an engine above the bound, in requests.
func (g *loadTracker) maxExcess() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.worstExcess
}
