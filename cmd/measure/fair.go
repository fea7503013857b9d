package main

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
)

// fairCase is one shard whose slots are shared by workspaces, one of which surges.
type fairCase struct {
	name    string
	slots   int
	surge   float64
	fifo    bool
	service time.Duration
	run     time.Duration
}

const (
	fairWorkspaces = 10
	// quietLoad is the share of the slots that all workspaces use when none surges.
	quietLoad = 0.6
)

// fair measures what quiet workspaces wait while one surges, against being without the surge.
func fair(o options) []row {
	base := fairCase{slots: 240, service: 14 * time.Second, run: 20 * time.Minute}
	var rows []row
	var alone float64
	for _, c := range []struct {
		name  string
		surge float64
		fifo  bool
	}{{"no surge", 1, false}, {"surge of 10", 10, false}, {"surge of 10, first come", 10, true}} {
		f := base
		f.name, f.surge, f.fifo = c.name, c.surge, c.fifo
		quiet, wait99 := f.play(o.Seed)
		if alone == 0 {
			alone = quiet
		}
		way := "by workspace"
		if c.fifo {
			way = "first come"
		}
		rows = append(rows, row{
			Case: c.name, Way: way, Engines: f.slots / 24, MaxRatio: quiet / alone, P99Ratio: wait99,
		})
	}
	return rows
}

type fairWorld struct {
	fairCase
	now   time.Time
	rng   *rand.Rand
	queue *quota.Queue
	free  int
	ends  []time.Time
	quiet []float64
	waits []float64
}

// play returns the quiet workspaces' mean time to the answer's end and p99 wait, in seconds.
func (f fairCase) play(seed uint64) (mean, wait99 float64) {
	w := &fairWorld{fairCase: f, now: epoch, rng: rand.New(rand.NewPCG(seed, 3)), queue: quota.NewQueue(1<<20, 1<<20), free: f.slots}
	base := quietLoad * float64(f.slots) / f.service.Seconds() / fairWorkspaces
	next := make([]time.Time, fairWorkspaces)
	rates := make([]float64, fairWorkspaces)
	for i := range next {
		rates[i] = base
		next[i] = w.now.Add(w.gap(base))
	}
	rates[0] = base * f.surge
	end := epoch.Add(f.run)
	for {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		w.finishUntil(next[first])
		w.now = next[first]
		if w.now.After(end) {
			break
		}
		next[first] = w.now.Add(w.gap(rates[first]))
		w.arrive(first)
	}
	sort.Float64s(w.waits)
	sum := 0.0
	for _, q := range w.quiet {
		sum += q
	}
	return sum / float64(len(w.quiet)), w.waits[len(w.waits)*99/100]
}

func (w *fairWorld) gap(rate float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

func (w *fairWorld) arrive(workspace int) {
	name := ident.Workspace("workspace-" + itoa(workspace))
	if w.fifo {
		// One flow for all is first come, first served.
		name = "all"
	}
	w.queue.Push(&quota.Waiter{Workspace: name, Weight: 1, Work: ident.OneRequest, Arrived: w.now, Value: workspace})
	w.serve()
}

// serve gives free slots to waiters.
func (w *fairWorld) serve() {
	for w.free > 0 {
		next, _ := w.queue.Pop(w.now)
		if next == nil {
			return
		}
		w.free--
		const sigma = 0.8
		d := time.Duration(math.Exp(w.rng.NormFloat64()*sigma-sigma*sigma/2) * float64(w.service))
		at := w.now.Add(d)
		i := sort.Search(len(w.ends), func(i int) bool { return w.ends[i].After(at) })
		w.ends = append(w.ends, time.Time{})
		copy(w.ends[i+1:], w.ends[i:])
		w.ends[i] = at
		if next.Value.(int) != 0 && w.now.Sub(epoch) > w.run/5 {
			wait := w.now.Sub(next.Arrived)
			w.waits = append(w.waits, wait.Seconds())
			w.quiet = append(w.quiet, (wait + d).Seconds())
		}
	}
}

func (w *fairWorld) finishUntil(t time.Time) {
	for len(w.ends) > 0 && !w.ends[0].After(t) {
		w.now = w.ends[0]
		w.ends = w.ends[1:]
		w.free++
		w.serve()
	}
}
