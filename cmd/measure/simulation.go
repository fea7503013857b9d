package main

import (
	"container/heap"
	"container/list"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"valescale/internal/plat/ident"
)

// scenario is the size and the load of a fleet, and the faults that are injected into it.
type scenario struct {
	name     string
	routers  int
	engines  int
	shards   int
	mean     float64
	duration time.Duration
	chats    int
	// cacheRatio is the capacity of all caches together as a multiple of the number of chats.
	cacheRatio float64
	skew       float64
	run        time.Duration
	// flap is the interval at which an engine fails and restarts with an empty cache.
	flap time.Duration
	// viewsDiffer periodically removes a router from the membership view of half of the routers for
	// five seconds.
	viewsDiffer bool
	// surge doubles the arrival rate for a fifth of the run.
	surge bool
	// heavyShare is the share of the arrivals that belong to a single workspace.
	heavyShare float64
	// reportDelay is the age of the engines' reports.
	reportDelay time.Duration
	// zoneLost makes a third of the engines fail for the rest of the run.
	zoneLost bool
	// replace stops a third of the routers gracefully, one after the other, and starts new ones.
	replace bool
	// crash makes a router crash every 20 s and starts a new one.
	crash bool
}

const warmUpShare = 0.4

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// simulation is one run: a clock, engines, chats and one placement strategy.
type simulation struct {
	scenario
	now      time.Time
	rng      *rand.Rand
	events   eventHeap
	seq      int
	engines  []*engine
	chats    []*chat
	strategy strategy
	bound    float64
	sample   sample
	zipf     []float64
}

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
	active   map[*request]bool
	lru      *list.List
	cached   map[int]*list.Element
	capacity int
	history  []int
}

type chat struct {
	id        int
	key       ident.ChatKey
	busy      bool
	workspace int
}

// request is one arrival.
type request struct {
	chat   *chat
	router int
	engine *engine
	end    func()
}

// strategy is a way of choosing engines.
type strategy interface {
	name() string
	// start is called once after the simulation is set up.
	start(w *simulation)
	// choose returns an engine, or nil if there is none.
	choose(w *simulation, r *request) *engine
	// enginesChanged is called after an engine has failed or restarted, but not for reports.
	enginesChanged(w *simulation)
	// evicted is called after an engine has evicted a chat's prefix.
	evicted(w *simulation, e *engine, c *chat)
	stats() strategyStats
}

type strategyStats struct {
	permitRequests float64
	bytes          float64
	note           string
	cpu            time.Duration
	choices        int
}

// sample holds the measurements of a run after its warm-up.
type sample struct {
	ratios []float64
	excess float64
	over   int
	warm   int
	all    int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const workspaceCount = 10

// zoneCount is the number of availability zones over which routers and engines are spread in turn.
const zoneCount = 3

// zoneOf returns the availability zone of the router or engine with index i.
func zoneOf(i int) ident.Zone { return ident.Zone("zone-" + strconv.Itoa(i%zoneCount)) }

func newSimulation(s scenario, strategy strategy, seed uint64) *simulation {
	w := &simulation{scenario: s, now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), strategy: strategy, bound: 1.25}
	for i := range s.engines {
		id := ident.Target("engine-" + strconv.Itoa(i))
		w.engines = append(w.engines, &engine{
			index: i, id: id, hash: id.Hash(), zone: zoneOf(i), incarnation: 1, up: true,
			active: map[*request]bool{}, lru: list.New(), cached: map[int]*list.Element{},
			capacity: int(s.cacheRatio * float64(s.chats) / float64(s.engines)),
		})
	}
	for i := range s.chats {
		workspace := i % workspaceCount
		w.chats = append(w.chats, &chat{
			id: i, workspace: workspace,
			key: ident.NewChatKey(ident.Workspace("workspace-"+strconv.Itoa(workspace)), strconv.Itoa(i)),
		})
	}
	sum := 0.0
	for i := range w.chats {
		sum += 1 / math.Pow(float64(i+1), s.skew)
		w.zipf = append(w.zipf, sum)
	}
	return w
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// schedulePeriodic runs a function at an interval.
func (w *simulation) schedulePeriodic(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.schedule(d, again)
	}
	w.schedule(d, again)
}

// simulate runs the simulation to its end.
func (w *simulation) simulate() {
	end := w.now.Add(w.run)
	w.strategy.start(w)
	w.schedule(0, w.arrive)
	w.schedulePeriodic(100*time.Millisecond, w.recordReports)
	if w.flap > 0 {
		w.schedulePeriodic(w.flap, w.flapEngine)
	}
	if w.zoneLost {
		w.schedule(w.run*6/10, w.failZone)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at.After(end) {
			return
		}
		w.now = e.at
		e.run()
	}
}

func (w *simulation) progress() float64 { return float64(w.now.Sub(epoch)) / float64(w.run) }

// rate returns the present arrival rate per second.
func (w *simulation) rate() float64 {
	rate := w.mean * float64(w.scenario.engines) / w.duration.Seconds()
	if p := w.progress(); w.surge && p > 0.6 && p < 0.8 {
		rate *= 2
	}
	return rate
}

func (w *simulation) arrive() {
	w.schedule(interarrivalTime(w.rng, w.rate()), w.arrive)
	c := w.pickChat()
	if c == nil {
		return
	}
	r := &request{chat: c, router: w.rng.IntN(w.routers)}
	e := w.strategy.choose(w, r)
	if e == nil {
		return
	}
	c.busy = true
	r.engine = e
	e.running++
	w.recordAdmission(e, c)
	e.active[r] = true
	w.schedule(serviceTime(w.rng, w.duration), func() { w.finish(r) })
}

// finish ends a request when it has completed or its engine has failed; a second call does nothing.
func (w *simulation) finish(r *request) {
	if !r.engine.active[r] {
		return
	}
	delete(r.engine.active, r)
	r.engine.running--
	r.chat.busy = false
	if r.end != nil {
		r.end()
	}
}

// pickChat draws a chat that has no request in flight.
func (w *simulation) pickChat() *chat {
	for range 50 {
		x := w.rng.Float64() * w.zipf[len(w.zipf)-1]
		c := w.chats[sort.SearchFloat64s(w.zipf, x)]
		if w.heavyShare > 0 && w.rng.Float64() < w.heavyShare && c.workspace != 0 {
			c = w.chats[c.id/workspaceCount*workspaceCount]
		}
		if !c.busy {
			return c
		}
	}
	return nil
}

// recordAdmission records the load and the cache hit of one admission.
func (w *simulation) recordAdmission(e *engine, c *chat) {
	warm := w.usePrefix(e, c)
	if w.progress() < warmUpShare {
		return
	}
	total, n := 0, 0
	for _, other := range w.engines {
		if other.up {
			total += other.running
			n++
		}
	}
	mean := float64(total) / float64(n)
	w.sample.ratios = append(w.sample.ratios, float64(e.running)/mean)
	excess := float64(e.running) - w.bound*mean
	w.sample.excess = max(w.sample.excess, excess)
	if excess > 1 {
		w.sample.over++
	}
	w.sample.all++
	if warm {
		w.sample.warm++
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
		// Cache events arrive late, and one in ten is lost.
		if w.rng.IntN(10) > 0 {
			w.schedule(2*time.Second, func() { w.strategy.evicted(w, e, gone) })
		}
	}
	return false
}

// recordReports records the load of each engine, to be reported after reportDelay.
func (w *simulation) recordReports() {
	keep := int(w.reportDelay/(100*time.Millisecond)) + 1
	for _, e := range w.engines {
		e.history = append(e.history, e.running)
		if len(e.history) > keep {
			e.history = e.history[1:]
		}
	}
}

// reportedLoad returns the load in the engine's latest report.
func (e *engine) reportedLoad() int {
	if len(e.history) == 0 {
		return 0
	}
	return e.history[0]
}

// flapEngine makes an engine fail and restart with an empty cache.
func (w *simulation) flapEngine() {
	e := w.engines[w.rng.IntN(len(w.engines))]
	if !e.up {
		return
	}
	w.failEngine(e)
	w.schedule(5*time.Second, func() {
		e.up = true
		e.joined = w.now
		w.strategy.enginesChanged(w)
	})
}

// sortedRequests returns the requests on an engine in a fixed order, so that the random iteration
// order of maps does not change the figures.
func (e *engine) sortedRequests() []*request {
	return slices.SortedFunc(maps.Keys(e.active), func(a, b *request) int { return a.chat.id - b.chat.id })
}

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

// result returns the figures of a run as a row.
func (w *simulation) result() row {
	st := w.strategy.stats()
	r := row{Case: w.scenario.name, Strategy: w.strategy.name(), Routers: w.routers, Engines: w.scenario.engines, Note: st.note}
	r.MaxExcess = w.sample.excess
	r.PermitRequests = st.permitRequests
	r.ControlBytes = st.bytes / w.run.Seconds() / float64(w.routers)
	if st.choices > 0 {
		r.CPUMicros = float64(st.cpu.Microseconds()) / float64(st.choices)
	}
	if w.sample.all == 0 {
		return r
	}
	sort.Float64s(w.sample.ratios)
	r.MaxRatio = w.sample.ratios[len(w.sample.ratios)-1]
	r.P99Ratio = percentile(w.sample.ratios, 99)
	r.OverShare = float64(w.sample.over) / float64(w.sample.all)
	r.Reuse = float64(w.sample.warm) / float64(w.sample.all)
	return r
}
