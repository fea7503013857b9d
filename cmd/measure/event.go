package main

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time. Events at the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventHeap is a heap of events, the next one first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// schedule runs a function after a delay.
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
