package entry

import (
	"sync"
	"time"

	"valescale/internal/rule/match"
)

const (
	// firstWeight is the part that one answer has in what is expected of the next: some ten
	// answers are remembered, which at a few requests a second is a matter of seconds.
	sampleWeight = 0.1
	// maxExpected bounds the routes of which something is remembered. Configurations have
	// some hundred; names that are gone make room by forgetting all.
	maxEstimates = 4096
)

// expectations are how long targets are seen to take to the first byte of an answer, by
// route. What is left of a request's objective after that is what it can wait.
type latencyEstimates struct {
	mu      sync.Mutex
	byRoute map[match.RouteName]latencyEstimate
}

// expectation is how long one route's answers take to the first byte. With the mean alone half of the
// requests that waited to the end were late: on a day with 2.5 times the traffic for eight of 20 s 3,900 of
// 38,600 served in place of 3,200, with as many refused.
type latencyEstimate struct {
	mean time.Duration
	// spread is by how much they differ from the mean, on average.
	deviation time.Duration
}

// newExpectations returns expectations of nothing.
func newLatencyEstimates() *latencyEstimates {
	return &latencyEstimates{byRoute: map[match.RouteName]latencyEstimate{}}
}

// note takes in how long the first byte took from the moment a target was found.
func (e *latencyEstimates) add(route match.RouteName, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, known := e.byRoute[route]
	if !known {
		if len(e.byRoute) >= maxEstimates {
			clear(e.byRoute)
		}
		e.byRoute[route] = latencyEstimate{mean: took}
		return
	}
	diff := took - before.mean
	e.byRoute[route] = latencyEstimate{
		mean:      before.mean + time.Duration(sampleWeight*float64(diff)),
		deviation: before.deviation + time.Duration(sampleWeight*float64(diff.Abs()-before.deviation)),
	}
}

// of is the time to the first byte within which four in five of a route's next answers are expected;
// zero for a route that has had none.
func (e *latencyEstimates) firstByteTime(route match.RouteName) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byRoute[route].mean + e.byRoute[route].deviation
}
