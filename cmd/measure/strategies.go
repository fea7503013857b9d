package main

import (
	"valescale/internal/plat/ident"
)

// plain is what the simple ways have in common.
type plain struct{}

func (plain) start(*world)                   {}
func (plain) changed(*world)                 {}
func (plain) evicted(*world, *engine, *chat) {}
func (plain) stats() wayStats                { return wayStats{} }
func upEngines(w *world) (out []*engine) {
	for _, e := range w.engines {
		if e.up {
			out = append(out, e)
		}
	}
	return out
}

type random struct{ plain }

func (random) name() string { return "random" }
func (random) choose(w *world, _ *request) *engine {
	up := upEngines(w)
	return up[w.rng.IntN(len(up))]
}

type roundRobin struct {
	plain
	next []int
}

func (*roundRobin) name() string { return "round robin" }
func (b *roundRobin) choose(w *world, r *request) *engine {
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

type leastReported struct{ plain }

func (leastReported) name() string { return "least reported" }
func (leastReported) choose(w *world, _ *request) *engine {
	up := upEngines(w)
	best := up[0]
	for _, e := range up[1:] {
		if e.reported() < best.reported() {
			best = e
		}
	}
	return best
}

type twoChoices struct{ plain }

func (twoChoices) name() string { return "two choices" }
func (twoChoices) choose(w *world, _ *request) *engine {
	up := upEngines(w)
	a, b := up[w.rng.IntN(len(up))], up[w.rng.IntN(len(up))]
	if b.reported() < a.reported() {
		return b
	}
	return a
}

type rendezvous struct{ plain }

func (rendezvous) name() string { return "rendezvous" }
func (rendezvous) choose(w *world, r *request) *engine {
	var best *engine
	var score uint64
	for _, e := range w.engines {
		if s := ident.Mix(uint64(r.chat.key), uint64(e.hash)); e.up && (best == nil || s > score) {
			best, score = e, s
		}
	}
	return best
}

// localShare is way A: each router keeps its own load under its own bound.
type localShare struct {
	plain
	own [][]int
}

func (*localShare) name() string { return "A local share" }
func (b *localShare) choose(w *world, r *request) *engine {
	if b.own == nil {
		b.own = make([][]int, w.routers)
		for i := range b.own {
			b.own[i] = make([]int, len(w.engines))
		}
	}
	own := b.own[r.router]
	total, n := 0, 0
	for i, e := range w.engines {
		if e.up {
			total += own[i]
			n++
		}
	}
	e := bounded(w, r, w.bound*float64(total+1)/float64(n), func(e *engine) float64 { return float64(own[e.index]) })
	own[e.index]++
	r.end = func() { own[e.index]-- }
	return e
}

// bounded is the first engine in the chat's order below a limit, or the least loaded.
func bounded(w *world, r *request, limit float64, load func(*engine) float64) *engine {
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

// lateReports is way B: late reports corrected by the router's own sends and ends since.
type lateReports struct {
	plain
	since [][]int
}

func (*lateReports) name() string { return "B late reports" }
func (b *lateReports) start(w *world) {
	b.since = make([][]int, w.routers)
	for i := range b.since {
		b.since[i] = make([]int, len(w.engines))
	}
}

func (b *lateReports) choose(w *world, r *request) *engine {
	since := b.since[r.router]
	load := func(e *engine) float64 { return float64(max(e.reported()+since[e.index], 0)) }
	total, n := 0.0, 0
	for _, e := range w.engines {
		if e.up {
			total += load(e)
			n++
		}
	}
	e := bounded(w, r, w.bound*(total+1)/float64(n), load)
	b.correct(w, r.router, e, 1)
	r.end = func() { b.correct(w, r.router, e, -1) }
	return e
}

// correct counts a change until reports contain it.
func (b *lateReports) correct(w *world, router int, e *engine, by int) {
	b.since[router][e.index] += by
	w.after(w.lag, func() { b.since[router][e.index] -= by })
}

// oracle sees every load and every cache and keeps the same bound.
type oracle struct{ plain }

func (oracle) name() string { return "oracle" }
func (oracle) choose(w *world, r *request) *engine {
	total, n := 0, 0
	for _, e := range w.engines {
		if e.up {
			total += e.running
			n++
		}
	}
	limit := w.bound * float64(total+1) / float64(n)
	var warm, cold *engine
	for _, e := range w.engines {
		if !e.up || float64(e.running) >= limit {
			continue
		}
		if _, ok := e.cached[r.chat.id]; ok && (warm == nil || e.running < warm.running) {
			warm = e
		}
		// A cold chat goes where the least is lost: free cache first, then the least loaded.
		if cold == nil || colder(e, cold) {
			cold = e
		}
	}
	if warm != nil {
		return warm
	}
	return cold
}

func colder(a, b *engine) bool {
	freeA, freeB := a.capacity > a.lru.Len(), b.capacity > b.lru.Len()
	if freeA != freeB {
		return freeA
	}
	return a.running < b.running
}
