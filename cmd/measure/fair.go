package main

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
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
	// quietLoad is the share of the slots in use by all workspaces together when none surges.
	quietLoad = 0.6
)

// fair measures how long requests of quiet workspaces wait while another workspace surges, relative
// to a run without the surge.
func fair(o options) []row {
	base := fairCase{slots: 240, service: 14 * time.Second, run: 20 * time.Minute}
	var rows []row
	var baseline float64
	for _, c := range []struct {
		name  string
		surge float64
		fifo  bool
	}{{"no surge", 1, false}, {"surge of 10", 10, false}, {"surge of 10, first come", 10, true}} {
		f := base
		f.name, f.surge, f.fifo = c.name, c.surge, c.fifo
		quiet, waitP99 := f.simulate(o.Seed)
		if baseline == 0 {
			baseline = quiet
		}
		strategy := "by workspace"
		if c.fifo {
			strategy = "first come"
		}
		rows = append(rows, row{
			Case: c.name, Strategy: strategy, Engines: f.slots / 24, MaxRatio: quiet / baseline, P99Ratio: waitP99,
		})
	}
	return rows
}

type fairSimulation struct {
	fairCase
	now   time.Time
	rng   *rand.Rand
	queue *quota.Queue
	free  int
	ends  []time.Time
	quiet []float64
	waits []float64
}

// simulate returns the mean time to the end of the answer and the p99 wait of the quiet workspaces,
// in seconds.
func (f fairCase) simulate(seed uint64) (mean, waitP99 float64) {
	w := &fairSimulation{fairCase: f, now: epoch, rng: rand.New(rand.NewPCG(seed, 3)), queue: quota.NewQueue(1<<20, 1<<20), free: f.slots}
	base := quietLoad * float64(f.slots) / f.service.Seconds() / fairWorkspaces
	next := make([]time.Time, fairWorkspaces)
	rates := make([]float64, fairWorkspaces)
	for i := range next {
		rates[i] = base
		next[i] = w.now.Add(interarrivalTime(w.rng, base))
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
		next[first] = w.now.Add(interarrivalTime(w.rng, rates[first]))
		w.arrive(first)
	}
	sort.Float64s(w.waits)
	sum := 0.0
	for _, q := range w.quiet {
		sum += q
	}
	return sum / float64(len(w.quiet)), percentile(w.waits, 99)
}

func (w *fairSimulation) arrive(workspace int) {
	name := ident.Workspace("workspace-" + strconv.Itoa(workspace))
	if w.fifo {
		// A single flow for all workspaces is served in order of arrival.
		name = "all"
	}
	w.queue.Push(&quota.Waiter{Workspace: name, Weight: 1, Work: ident.OneRequest, Arrived: w.now, Value: workspace})
	w.serve()
}

// serve assigns free slots to waiting requests.
func (w *fairSimulation) serve() {
	for w.free > 0 {
		next, _ := w.queue.Pop(w.now)
		if next == nil {
			return
		}
		w.free--
		d := serviceTime(w.rng, w.service)
		at := w.now.Add(d)
		i := sort.Search(len(w.ends), func(i int) bool { return w.ends[i].After(at) })
		w.ends = slices.Insert(w.ends, i, at)
		if next.Value.(int) != 0 && w.now.Sub(epoch) > w.run/5 {
			wait := w.now.Sub(next.Arrived)
			w.waits = append(w.waits, wait.Seconds())
			w.quiet = append(w.quiet, (wait + d).Seconds())
		}
	}
}

func (w *fairSimulation) finishUntil(t time.Time) {
	for len(w.ends) > 0 && !w.ends[0].After(t) {
		w.now = w.ends[0]
		w.ends = w.ends[1:]
		w.free++
		w.serve()
	}
}
