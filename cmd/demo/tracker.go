package main

import (
	"sync"
	"time"

	"valescale/internal/fake/fleet"
)

// loadFactor is the multiple of the mean load that no engine may exceed by more than one request.
const loadFactor = 1.25

// loadTracker observes the running requests of the engines and keeps the maximum load.
type loadTracker struct {
	mu      sync.Mutex
	running map[*fleet.Engine]int
	// usable is false for engines that are excluded from the mean.
	usable map[*fleet.Engine]bool
	// worstRatio and worstExcess are the maxima of load over mean, and of load above the bound.
	worstRatio  float64
	worstExcess float64
	// late is the number of requests that excluded engines got.
	late int
	// means are the mean loads within the last maxTransit, oldest first.
	means []meanSample
}

// meanSample is the mean load at one time.
type meanSample struct {
	at   time.Time
	mean float64
}

// maxTransit is the maximum time from the placement of a request to its arrival at the engine.
// The load at the arrival is compared with the highest mean within that time.
const maxTransit = 250 * time.Millisecond

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

// record records the number of requests that run on an engine. If one has begun, the load is compared
// with the mean.
func (g *loadTracker) record(e *fleet.Engine, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := running > g.running[e]
	g.running[e] = running
	mean := g.recentMax(g.mean())
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

// mean returns the mean load of the engines that are not excluded. The caller holds the lock.
func (g *loadTracker) mean() float64 {
	total, n := 0, 0
	for engine, usable := range g.usable {
		if usable {
			total += g.running[engine]
			n++
		}
	}
	return float64(total) / float64(n)
}

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
