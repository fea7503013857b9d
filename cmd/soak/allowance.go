package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"valescale/platform/fake"
)

// The fleet's allowance of repeated requests, as in the settings of the routers.
const (
	repeatWindow = 10 * time.Second
	repeatRatio  = 0.2
	repeatExtra  = 56
)

// traffic contains the times of one service's requests, as sent by callers, and of the arrivals at its
// targets beyond the first of each request.
type traffic struct {
	requests []time.Time
	repeats  []time.Time
	arrived  map[string]bool
	// arrivals is the number of all arrivals.
	arrivals int
}

// of returns the traffic of a service. The caller holds the lock.
func (l *ledger) of(service string) *traffic {
	t, ok := l.traffic[service]
	if !ok {
		t = &traffic{arrived: map[string]bool{}}
		l.traffic[service] = t
	}
	return t
}

// countArrivals records every request that arrives at a target, also one that it rejects.
func (l *ledger) countArrivals(at *target, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.recordArrival(at, r.Header.Get(fake.HeaderID))
		h.ServeHTTP(w, r)
	})
}

// recordArrival records a request that has arrived at a target.
func (l *ledger) recordArrival(at *target, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.sent[id]; ok {
		e.read(at.id)
	}
	t := l.of(at.service)
	t.arrivals++
	if t.arrived[id] {
		t.repeats = append(t.repeats, time.Now())
	}
	t.arrived[id] = true
}

// checkAllowance checks that in no window more repeats arrived than the allowance permits. The requests
// counted are those of the window, of the window before or of the one half a window before, whichever
// are the most.
func (t *traffic) checkAllowance(service string) (violation string) {
	for i, end := range t.repeats {
		start := end.Add(-repeatWindow)
		first, _ := slices.BinarySearchFunc(t.repeats, start, time.Time.Compare)
		repeats := i + 1 - first
		requests := 0
		for _, back := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			requests = max(requests, t.requestsBetween(start.Add(-back), end.Add(-back)))
		}
		if allowed := repeatRatio*float64(requests) + repeatExtra; float64(repeats) > allowed {
			return fmt.Sprintf("service %s: %d repeats in %s for %d requests; allowed %.0f", service, repeats, repeatWindow, requests, allowed)
		}
	}
	return ""
}

// requestsBetween returns the number of requests that were sent between two times.
func (t *traffic) requestsBetween(from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(t.requests, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(t.requests, to, time.Time.Compare)
	return last - first
}

// servicesOf returns the services to which the requests of a path may go.
func servicesOf(path string) []string {
	if path == splitPath {
		return []string{plainService, spareService}
	}
	return []string{serviceOf(path)}
}

// serviceOf returns the service of a path in the configuration.
func serviceOf(path string) string {
	switch path {
	case streamPath, resumePath:
		return engineService
	case steadyPath:
		return spareService
	default:
		return plainService
	}
}

// isStream reports whether the answers on a path are streams.
func isStream(path string) bool { return serviceOf(path) != plainService }
