package main

import (
	"valescale/internal/plat/ident"
)

// baseStrategy has the methods that the simple strategies share.
type baseStrategy struct{}

func (baseStrategy) start(*simulation)                   {}
func (baseStrategy) enginesChanged(*simulation)          {}
func (baseStrategy) evicted(*simulation, *engine, *chat) {}
func (baseStrategy) stats() strategyStats                { return strategyStats{} }
func upEngines(w *simulation) (out []*engine) {
	for _, e := range w.engines {
		if e.up {
			out = append(out, e)
		}
	}
	return out
}

type random struct{ baseStrategy }

func (random) name() string { return "random" }
func (random) choose(w *simulation, _ *request) *engine {
	up := upEngines(w)
	return up[w.rng.IntN(len(up))]
}

type roundRobin struct {
	baseStrategy
	next []int
}

func (*roundRobin) name() string { return "round robin" }
func (b *roundRobin) choose(w *simulation, r *request) *engine {
	if b.next == nil {
		b.next = make([]int, w.routers)
		for i := range b.next {
			b.next[i] = w.rng.IntN(len(w.engines))
		}
	}
	up := upEngines(w)
	b.next[r.router]++
	return up[b.next[r.router]%len(up)]
}

type leastReported struct{ baseStrategy }

func (leastReported) name() string { return "least reported" }
func (leastReported) choose(w *simulation, _ *request) *engine {
	up := upEngines(w)
	best := up[0]
	for _, e := range up[1:] {
		if e.reportedLoad() < best.reportedLoad() {
			best = e
		}
	}
	return best
}

type twoChoices struct{ baseStrategy }

func (twoChoices) name() string { return "two choices" }
func (twoChoices) choose(w *simulation, _ *request) *engine {
	up := upEngines(w)
	a, b := up[w.rng.IntN(len(up))], up[w.rng.IntN(len(up))]
	if b.reportedLoad() < a.reportedLoad() {
		return b
	}
	return a
}

type rendezvous struct{ baseStrategy }

func (rendezvous) name() string { return "rendezvous" }
func (rendezvous) choose(w *simulation, r *request) *engine {
	var best *engine
	var score uint64
	for _, e := range w.engines {
		if s := ident.Mix(uint64(r.chat.key), uint64(e.hash)); e.up && (best == nil || s > score) {
			best, score = e, s
		}
	}
	return best
}

// localShare is strategy A: each router bounds the load of its own requests only.
type localShare struct {
	baseStrategy
	ownLoad [][]int
}

func (*localShare) name() string { return "A local share" }
func (b *localShare) choose(w *simulation, r *request) *engine {
	if b.ownLoad == nil {
		b.ownLoad = make([][]int, w.routers)
		for i := range b.ownLoad {
			b.ownLoad[i] = make([]int, len(w.engines))
		}
	}
	ownLoad := b.ownLoad[r.router]
	total, n := 0, 0
	for i, e := range w.engines {
		if e.up {
			total += ownLoad[i]
			n++
		}
	}
	e := boundedChoice(w, r, w.bound*float64(total+1)/float64(n), func(e *engine) float64 { return float64(ownLoad[e.index]) })
	ownLoad[e.index]++
	r.end = func() { ownLoad[e.index]-- }
	return e
}

// boundedChoice returns the first engine in the chat's rendezvous order with a load below the limit,
// or else the least loaded.
func boundedChoice(w *simulation, r *request, limit float64, load func(*engine) float64) *engine {
	var best, least *engine
	var score uint64
	for _, e := range w.engines {
		if !e.up {
			continue
		}
		if least == nil || load(e) < load(least) {
			least = e
		}
		if s := ident.Mix(uint64(r.chat.key), uint64(e.hash)); load(e) < limit && (best == nil || s > score) {
			best, score = e, s
		}
	}
	if best == nil {
		return least
	}
	return best
}

// lateReports is strategy B: delayed reports, corrected by the requests that the router itself has
// started and finished since.
type lateReports struct {
	baseStrategy
	unreported [][]int
}

func (*lateReports) name() string { return "B late reports" }
func (b *lateReports) start(w *simulation) {
	b.unreported = make([][]int, w.routers)
	for i := range b.unreported {
		b.unreported[i] = make([]int, len(w.engines))
	}
}

func (b *lateReports) choose(w *simulation, r *request) *engine {
	unreported := b.unreported[r.router]
	load := func(e *engine) float64 { return float64(max(e.reportedLoad()+unreported[e.index], 0)) }
	total, n := 0.0, 0
	for _, e := range w.engines {
		if e.up {
			total += load(e)
			n++
		}
	}
	e := boundedChoice(w, r, w.bound*(total+1)/float64(n), load)
	b.correct(w, r.router, e, 1)
	r.end = func() { b.correct(w, r.router, e, -1) }
	return e
}

// correct counts a change of load until the reports include it.
func (b *lateReports) correct(w *simulation, router int, e *engine, by int) {
	b.unreported[router][e.index] += by
	w.schedule(w.reportDelay, func() { b.unreported[router][e.index] -= by })
}

// oracle has the exact load and cache content of every engine, and applies the same bound.
type oracle struct{ baseStrategy }

func (oracle) name() string { return "oracle" }
func (oracle) choose(w *simulation, r *request) *engine {
	running, up := w.load()
	limit := w.bound * float64(running+1) / float64(up)
	var warm, cold *engine
	for _, e := range w.engines {
		if !e.up || float64(e.running) >= limit {
			continue
		}
		if _, ok := e.cached[r.chat.id]; ok && (warm == nil || e.running < warm.running) {
			warm = e
		}
		// A cold chat is placed where it evicts the least: on engines with free cache first, then on the
		// least loaded.
		if cold == nil || prefersCold(e, cold) {
			cold = e
		}
	}
	if warm != nil {
		return warm
	}
	return cold
}

func prefersCold(a, b *engine) bool {
	freeA, freeB := a.capacity > a.lru.Len(), b.capacity > b.lru.Len()
	if freeA != freeB {
		return freeA
	}
	return a.running < b.running
}
