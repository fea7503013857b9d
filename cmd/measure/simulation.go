package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"valescale/internal/plat/ident"
)

// scenario is the size and the load of a fleet, and the faults that are injected into it.
type scenario struct {
	name    string
	routers int
	engines int
	shards  int
	// mean is the mean number of requests in flight on an engine, duration the mean time of one.
	mean     float64
	duration time.Duration
	chats    int
	// cacheRatio is the capacity of all caches together as a multiple of the number of chats.
	cacheRatio float64
	// skew is the exponent of the Zipf distribution of requests over chats.
	skew float64
	// run is the simulated time.
	run time.Duration
	// flap is the interval at which an engine fails and restarts with an empty cache.
	flap time.Duration
	// viewsDiffer periodically removes a router from the membership view of half of the routers for
	// five seconds.
	viewsDiffer bool
	// surge raises the arrival rate for a part of the run.
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

const (
	// warmUpShare is the share of the run before measurements start.
	warmUpShare = 0.4
	// surgeStart and surgeEnd are the shares of the run between which the arrival rate is multiplied
	// by surgeFactor.
	surgeStart  = 0.6
	surgeEnd    = 0.8
	surgeFactor = 2
	// zoneLossTenths is the tenths of the run after which a zone fails.
	zoneLossTenths = 6
	// maxPicks limits the draws of a chat that has no request in flight.
	maxPicks = 50
)

// epoch is the time at which simulations start.
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
	// bound is the multiple of the mean load that strategies keep to and excess is measured from.
	bound  float64
	sample sample
	// zipf holds the cumulative weights of the chats.
	zipf []float64
}

// chat is one simulated chat. It is busy while it has a request in flight.
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

// workspaceCount is the number of workspaces that the chats belong to in turn.
const workspaceCount = 10

// zoneCount is the number of availability zones over which routers and engines are spread in turn.
const zoneCount = 3

// zoneOf returns the availability zone of the router or engine with index i.
func zoneOf(i int) ident.Zone { return ident.Zone("zone-" + strconv.Itoa(i%zoneCount)) }

// newSimulation returns a simulation of a scenario, with all engines up and their caches empty.
func newSimulation(s scenario, strategy strategy, seed uint64) *simulation {
	w := &simulation{scenario: s, now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), strategy: strategy, bound: 1.25}
	capacity := int(s.cacheRatio * float64(s.chats) / float64(s.engines))
	for i := range s.engines {
		w.engines = append(w.engines, newEngine(i, capacity))
	}
	sum := 0.0
	for i := range s.chats {
		w.chats = append(w.chats, newChat(i))
		sum += 1 / math.Pow(float64(i+1), s.skew)
		w.zipf = append(w.zipf, sum)
	}
	return w
}

// newChat returns the chat with index i.
func newChat(i int) *chat {
	workspace := i % workspaceCount
	return &chat{
		id: i, workspace: workspace,
		key: ident.NewChatKey(ident.Workspace("workspace-"+strconv.Itoa(workspace)), strconv.Itoa(i)),
	}
}

// simulate runs the simulation to its end.
func (w *simulation) simulate() {
	end := w.now.Add(w.run)
	w.strategy.start(w)
	w.schedule(0, w.arrive)
	w.schedulePeriodic(reportInterval, w.recordReports)
	if w.flap > 0 {
		w.schedulePeriodic(w.flap, w.flapEngine)
	}
	if w.zoneLost {
		w.schedule(w.run*zoneLossTenths/10, w.failZone)
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

// progress returns the share of the run that is over.
func (w *simulation) progress() float64 { return float64(w.now.Sub(epoch)) / float64(w.run) }

// rate returns the present arrival rate per second.
func (w *simulation) rate() float64 {
	rate := w.mean * float64(w.scenario.engines) / w.duration.Seconds()
	if p := w.progress(); w.surge && p > surgeStart && p < surgeEnd {
		rate *= surgeFactor
	}
	return rate
}

// arrive sends a request of a chat without a request in flight, and schedules the next arrival.
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
	for range maxPicks {
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
	running, up := w.load()
	mean := float64(running) / float64(up)
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

// load returns the number of requests on all engines that are up, and the number of these engines.
func (w *simulation) load() (running, up int) {
	for _, e := range w.engines {
		if e.up {
			running += e.running
			up++
		}
	}
	return running, up
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
