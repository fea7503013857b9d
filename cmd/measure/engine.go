package main

import (
	"container/list"
	"maps"
	"slices"
	"strconv"
	"time"

	"valescale/internal/plat/ident"
)

const (
	// reportInterval is the interval at which the loads of engines are recorded.
	reportInterval = 100 * time.Millisecond
	// restartTime is how long a failed engine takes to restart.
	restartTime = 5 * time.Second
	// evictionDelay is how late strategies receive a cache event. One in evictionLossRatio is lost.
	evictionDelay     = 2 * time.Second
	evictionLossRatio = 10
)

// engine is one simulated engine.
type engine struct {
	index       int
	id          ident.Target
	hash        ident.TargetHash
	zone        ident.Zone
	incarnation ident.Incarnation
	up          bool
	joined      time.Time
	running     int
	// active holds the requests in flight on this engine.
	active map[*request]bool
	// lru holds the chats whose prefixes are cached, most recently used first, and cached their
	// elements by chat id. capacity limits their number.
	lru      *list.List
	cached   map[int]*list.Element
	capacity int
	// history holds the loads that have not been superseded by a later report, oldest first.
	history []int
}

// newEngine returns the engine with index i, whose cache holds the prefixes of at most capacity chats.
func newEngine(i, capacity int) *engine {
	id := ident.Target("engine-" + strconv.Itoa(i))
	return &engine{
		index: i, id: id, hash: id.Hash(), zone: zoneOf(i), incarnation: 1, up: true,
		active: map[*request]bool{}, lru: list.New(), cached: map[int]*list.Element{}, capacity: capacity,
	}
}

// usePrefix marks a chat's prefix as used at an engine and reports whether it was cached.
func (w *simulation) usePrefix(e *engine, c *chat) bool {
	if el, ok := e.cached[c.id]; ok {
		e.lru.MoveToFront(el)
		return true
	}
	e.cached[c.id] = e.lru.PushFront(c)
	if e.lru.Len() > e.capacity {
		gone := e.lru.Remove(e.lru.Back()).(*chat)
		delete(e.cached, gone.id)
		if w.rng.IntN(evictionLossRatio) > 0 {
			w.schedule(evictionDelay, func() { w.strategy.evicted(w, e, gone) })
		}
	}
	return false
}

// reportedLoad returns the load in the engine's latest report.
func (e *engine) reportedLoad() int {
	if len(e.history) == 0 {
		return 0
	}
	return e.history[0]
}

// sortedRequests returns the requests on an engine in a fixed order, so that the random iteration
// order of maps does not change the figures.
func (e *engine) sortedRequests() []*request {
	return slices.SortedFunc(maps.Keys(e.active), func(a, b *request) int { return a.chat.id - b.chat.id })
}

// recordReports records the load of each engine, to be reported after reportDelay.
func (w *simulation) recordReports() {
	keep := int(w.reportDelay/reportInterval) + 1
	for _, e := range w.engines {
		e.history = append(e.history, e.running)
		if len(e.history) > keep {
			e.history = e.history[1:]
		}
	}
}

// flapEngine makes an engine fail and restart with an empty cache.
func (w *simulation) flapEngine() {
	e := w.engines[w.rng.IntN(len(w.engines))]
	if !e.up {
		return
	}
	w.failEngine(e)
	w.schedule(restartTime, func() {
		e.up = true
		e.joined = w.now
		w.strategy.enginesChanged(w)
	})
}

// failEngine stops an engine. Its requests end, and its cache is lost.
func (w *simulation) failEngine(e *engine) {
	e.up = false
	e.incarnation++
	for _, r := range e.sortedRequests() {
		w.finish(r)
	}
	e.lru.Init()
	clear(e.cached)
	w.strategy.enginesChanged(w)
}

// failZone makes the engines of one zone fail.
func (w *simulation) failZone() {
	for _, e := range w.engines {
		if e.zone == zoneOf(0) {
			w.failEngine(e)
		}
	}
}
