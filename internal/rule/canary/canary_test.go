package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The sum of what routers let through keeps to the share of all that they send, at each moment and whoever starts anew.
func TestGatesKeepTheShare(t *testing.T) {
	const share, routers = 0.06, 60
	rng := rand.New(rand.NewPCG(1, 2))
	gates := make([]Gate, routers)
	for i := range gates {
		gates[i] = NewGate(share)
	}
	all, tried := 0, 0
	for step := range 100_000 {
		i := rng.IntN(routers)
		onTrial := gates[i].Admits()
		gates[i].Sent(onTrial)
		all++
		if onTrial {
			tried++
		}
		if float64(tried) > share*float64(all) {
			t.Fatalf("%d of %d requests try a version after step %d, want %v at most", tried, all, step, share)
		}
		if rng.IntN(500) == 0 {
			gates[i] = NewGate(share)
		}
	}
	if float64(tried) < share/2*float64(all) {
		t.Errorf("only %d of %d requests try a version", tried, all)
	}
}

// world is a service whose old version answers some routes badly, and a version on trial.
type world struct {
	rng *rand.Rand
	// fails is the share of requests that the old version fails, by route.
	fails []float64
	norms []Norm
}

// answer is one answer of the old version: how long it takes varies much from request to request.
func (w *world) answer(route int) (ok bool, took time.Duration) {
	return w.rng.Float64() >= w.fails[route], time.Duration(w.rng.ExpFloat64() * float64(50*time.Millisecond))
}

// trial has a version answer until it is given up, for at most so many answers, and returns the evidence.
func (w *world) trial(answers int, spoil func(route int, ok bool, took time.Duration) (bool, time.Duration)) Evidence {
	w.norms = make([]Norm, len(w.fails))
	var e Evidence
	for range answers {
		for range 15 {
			route := w.rng.IntN(len(w.fails))
			w.norms[route].Note(w.answer(route))
		}
		route := w.rng.IntN(len(w.fails))
		ok, took := w.answer(route)
		ok, took = spoil(route, ok, took)
		e.Add(&w.norms[route], ok, took)
		if e.Bad() {
			break
		}
	}
	return e
}

// A bad version is given up long before its fiftieth poor answer, whether it fails or is slow, on all routes or on
// one; a sound one seldom, though one route fails often in any case.
func TestVersionsAreToldApart(t *testing.T) {
	const trials, answers = 300, 250
	w := &world{rng: rand.New(rand.NewPCG(3, 4)), fails: []float64{0.004, 0.14, 0, 0.01}}
	for _, c := range []struct {
		name  string
		spoil func(route int, ok bool, took time.Duration) (bool, time.Duration)
		bad   bool
	}{
		{"sound", func(_ int, ok bool, took time.Duration) (bool, time.Duration) { return ok, took }, false},
		{"fails a third", func(_ int, ok bool, took time.Duration) (bool, time.Duration) { return ok && w.rng.IntN(3) > 0, took }, true},
		{"slow, four in ten", func(_ int, ok bool, took time.Duration) (bool, time.Duration) {
			if w.rng.IntN(10) < 4 {
				took *= 8
			}
			return ok, took
		}, true},
		{"fails on one route", func(route int, ok bool, took time.Duration) (bool, time.Duration) { return ok && route != 2, took }, true},
	} {
		given, most := 0, 0
		for range trials {
			if e := w.trial(answers, c.spoil); e.Bad() {
				given++
				most = max(most, e.Poor)
			}
		}
		t.Logf("%s: %d of %d given up, after %d poor answers at most", c.name, given, trials, most)
		if c.bad && (given < trials || most >= 50) {
			t.Errorf("%s: %d of %d given up, after %d poor answers at most", c.name, given, trials, most)
		}
		if !c.bad && given > trials/50 {
			t.Errorf("%s: %d of %d given up", c.name, given, trials)
		}
	}
}

// A version takes over only once enough answers have shown it sound, and before the order's time is over.
func TestOrdersEndInTime(t *testing.T) {
	seen := time.Unix(1000, 0)
	o := Order{Over: 12 * time.Second}
	if done, promoted := o.DoneAt(seen), o.PromotedAt(seen); !promoted.Before(done) || !done.Before(seen.Add(o.Over)) || !promoted.After(seen) {
		t.Errorf("promoted at %v, done at %v", promoted, done)
	}
	got := []bool{Evidence{}.Sound(), Evidence{Answers: 30}.Sound(), Evidence{Answers: 30, Poor: 9, Expected: 1}.Sound()}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}
