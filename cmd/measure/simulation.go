package main

import (
	"container/heap"
	"container/list"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"valescale/internal/plat/ident"
)

// shape is a case: how large, how loaded, and what goes wrong.
type shape struct {
	name     string
	routers  int
	engines  int
	shards   int
	mean     float64
	duration time.Duration
	chats    int
	// slack is how many times the chats fit in all caches together.
	slack float64
	skew  float64
	run   time.Duration
	// flap takes an engine away and back, with its cache lost, at this interval.
	flap time.Duration
	// disagree makes half of the routers miss a router for a while, now and then.
	disagree bool
	// surge doubles the arrivals for a while.
	surge bool
	// heavy gives one workspace this share of the arrivals.
	heavy float64
	// lag is how old engines' reports are.
	lag time.Duration
	// zoneLost takes a third of the engines away for good.
	zoneLost bool
	// replace stops a third of the routers as planned, one after the other, and brings new ones.
	replace bool
	// crash ends a router without notice now and then and brings a new one.
	crash bool
}

const warmUp = 0.4

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// world is a run: a clock, engines, chats and one way of choosing.
type world struct {
	shape
	now     time.Time
	rng     *rand.Rand
	events  eventHeap
	seq     int
	engines []*engine
	chats   []*chat
	way     way
	bound   float64
	sample  sample
	zipf    []float64
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
	// active are the requests that run here.
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

// way is a way of choosing engines.
type way interface {
	name() string
	// start is called once the world is there.
	start(w *world)
	// choose returns an engine, or nil when there is none.
	choose(w *world, r *request) *engine
	// joined and left tell of engines; reports come by themselves.
	changed(w *world)
	// evicted tells that an engine dropped a chat's prefix.
	evicted(w *world, e *engine, c *chat)
	stats() wayStats
}

type wayStats struct {
	asks    float64
	bytes   float64
	note    string
	cpu     time.Duration
	choices int
}

// sample is what a run has shown after its warm-up.
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

func newWorld(s shape, way way, seed uint64) *world {
	w := &world{shape: s, now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), way: way, bound: 1.25}
	for i := range s.engines {
		id := ident.Target("engine-" + itoa(i))
		w.engines = append(w.engines, &engine{
			index: i, id: id, hash: id.Hash(), zone: ident.Zone("zone-" + itoa(i%3)), incarnation: 1, up: true,
			active: map[*request]bool{}, lru: list.New(), cached: map[int]*list.Element{},
			capacity: int(s.slack * float64(s.chats) / float64(s.engines)),
		})
	}
	for i := range s.chats {
		workspace := i % workspaceCount
		w.chats = append(w.chats, &chat{
			id: i, workspace: workspace,
			key: ident.NewChatKey(ident.Workspace("workspace-"+itoa(workspace)), itoa(i)),
		})
	}
	sum := 0.0
	for i := range w.chats {
		sum += 1 / math.Pow(float64(i+1), s.skew)
		w.zipf = append(w.zipf, sum)
	}
	return w
}

func itoa(i int) string {
	const digits = "0123456789"
	if i < 10 {
		return digits[i : i+1]
	}
	return itoa(i/10) + digits[i%10:i%10+1]
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// every runs something at intervals.
func (w *world) every(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(d, again)
	}
	w.after(d, again)
}

// play runs the world to its end.
func (w *world) play() {
	end := w.now.Add(w.run)
	w.way.start(w)
	w.after(0, w.arrive)
	w.every(100*time.Millisecond, w.report)
	if w.flap > 0 {
		w.every(w.flap, w.flapOne)
	}
	if w.zoneLost {
		w.after(w.run*6/10, w.loseZone)
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

func (w *world) progress() float64 { return float64(w.now.Sub(epoch)) / float64(w.run) }

// rate is arrivals a second now.
func (w *world) rate() float64 {
	rate := w.mean * float64(w.shape.engines) / w.duration.Seconds()
	if p := w.progress(); w.surge && p > 0.6 && p < 0.8 {
		rate *= 2
	}
	return rate
}

func (w *world) arrive() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.rate()*float64(time.Second)), w.arrive)
	c := w.pickChat()
	if c == nil {
		return
	}
	r := &request{chat: c, router: w.rng.IntN(w.routers)}
	e := w.way.choose(w, r)
	if e == nil {
		return
	}
	c.busy = true
	r.engine = e
	e.running++
	w.note(e, c)
	// Lognormal with the wanted mean; sigma 0.8 is a long but not wild tail.
	const sigma = 0.8
	d := time.Duration(math.Exp(w.rng.NormFloat64()*sigma-sigma*sigma/2) * float64(w.duration))
	e.active[r] = true
	w.after(d, func() { w.finish(r) })
}

// finish ends a request once: when it is done or its engine is lost.
func (w *world) finish(r *request) {
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
func (w *world) pickChat() *chat {
	for range 50 {
		x := w.rng.Float64() * w.zipf[len(w.zipf)-1]
		c := w.chats[sort.SearchFloat64s(w.zipf, x)]
		if w.heavy > 0 && w.rng.Float64() < w.heavy && c.workspace != 0 {
			c = w.chats[c.id/workspaceCount*workspaceCount]
		}
		if !c.busy {
			return c
		}
	}
	return nil
}

// note samples one admission.
func (w *world) note(e *engine, c *chat) {
	warm := w.touch(e, c)
	if w.progress() < warmUp {
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

// touch uses a chat's prefix at an engine and reports whether it was cached.
func (w *world) touch(e *engine, c *chat) bool {
	if el, ok := e.cached[c.id]; ok {
		e.lru.MoveToFront(el)
		return true
	}
	e.cached[c.id] = e.lru.PushFront(c)
	if e.lru.Len() > e.capacity {
		gone := e.lru.Remove(e.lru.Back()).(*chat)
		delete(e.cached, gone.id)
		// Cache events come late, and one in ten never.
		if w.rng.IntN(10) > 0 {
			w.after(2*time.Second, func() { w.way.evicted(w, e, gone) })
		}
	}
	return false
}

// report records what the engines will be known to have had.
func (w *world) report() {
	keep := int(w.lag/(100*time.Millisecond)) + 1
	for _, e := range w.engines {
		e.history = append(e.history, e.running)
		if len(e.history) > keep {
			e.history = e.history[1:]
		}
	}
}

// reported is an engine's load as its latest report has it.
func (e *engine) reported() int {
	if len(e.history) == 0 {
		return 0
	}
	return e.history[0]
}

// flapOne takes an engine away and brings it back with an empty cache.
func (w *world) flapOne() {
	e := w.engines[w.rng.IntN(len(w.engines))]
	if !e.up {
		return
	}
	w.lose(e)
	w.after(5*time.Second, func() {
		e.up = true
		e.joined = w.now
		w.way.changed(w)
	})
}

// inOrder lists what runs on an engine: the order in which a map is walked must not
// change the figures.
func (e *engine) inOrder() []*request {
	return slices.SortedFunc(maps.Keys(e.active), func(a, b *request) int { return a.chat.id - b.chat.id })
}

func (w *world) lose(e *engine) {
	e.up = false
	e.incarnation++
	for _, r := range e.inOrder() {
		w.finish(r)
	}
	e.lru.Init()
	clear(e.cached)
	w.way.changed(w)
}

// loseZone takes the engines of one zone away.
func (w *world) loseZone() {
	for _, e := range w.engines {
		if e.zone == "zone-0" {
			w.lose(e)
		}
	}
}

// result turns a run into a row.
func (w *world) result() row {
	st := w.way.stats()
	r := row{Case: w.shape.name, Way: w.way.name(), Routers: w.routers, Engines: w.shape.engines, Note: st.note}
	r.MaxExcess = w.sample.excess
	r.AsksPerCall = st.asks
	r.ControlBytes = st.bytes / w.run.Seconds() / float64(w.routers)
	if st.choices > 0 {
		r.CPUMicros = float64(st.cpu.Microseconds()) / float64(st.choices)
	}
	if w.sample.all == 0 {
		return r
	}
	sort.Float64s(w.sample.ratios)
	r.MaxRatio = w.sample.ratios[len(w.sample.ratios)-1]
	r.P99Ratio = w.sample.ratios[len(w.sample.ratios)*99/100]
	r.OverShare = float64(w.sample.over) / float64(w.sample.all)
	r.Reuse = float64(w.sample.warm) / float64(w.sample.all)
	return r
}
