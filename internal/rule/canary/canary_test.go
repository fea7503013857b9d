package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The fleet's requests to the canary must stay within the share of its requests to the service
// after every request, even when routers restart.
func TestGatesKeepFleetWithinShare(t *testing.T) {
	const share, routers = 0.06, 60
	rng := rand.New(rand.NewPCG(1, 2))
	gates := make([]Gate, routers)
	for i := range gates {
		gates[i] = NewGate(share)
	}
	total, toCanary := 0, 0
	for step := range 100_000 {
		i := rng.IntN(routers)
		isCanary := gates[i].Admits()
		gates[i].RecordSent(isCanary)
		total++
		if isCanary {
			toCanary++
		}
		if float64(toCanary) > share*float64(total) {
			t.Fatalf("%d of %d requests were sent to the canary after step %d, want a share of at most %v", toCanary, total, step, share)
		}
		if rng.IntN(500) == 0 {
			gates[i] = NewGate(share)
		}
	}
	if float64(toCanary) < share/2*float64(total) {
		t.Errorf("only %d of %d requests were sent to the canary", toCanary, total)
	}
}

// simulation is a service whose current version fails on some routes, and a canary of it.
type simulation struct {
	rng *rand.Rand
	// failureRatios are the shares of requests that the current version fails, by route.
	failureRatios []float64
	baselines     []Baseline
}

// answer returns the result and the response time of one request to the current version. Response
// times vary widely.
func (w *simulation) answer(route int) (ok bool, took time.Duration) {
	return w.rng.Float64() >= w.failureRatios[route], time.Duration(w.rng.ExpFloat64() * float64(50*time.Millisecond))
}

// rollout sends requests to a canary until it is judged bad or has given the number of answers, and
// returns the evidence. toCanaryAnswer converts answers of the current version into those of the
// canary.
func (w *simulation) rollout(answers int, toCanaryAnswer func(route int, ok bool, took time.Duration) (bool, time.Duration)) Evidence {
	w.baselines = make([]Baseline, len(w.failureRatios))
	var e Evidence
	for range answers {
		for range 15 {
			route := w.rng.IntN(len(w.failureRatios))
			w.baselines[route].Record(w.answer(route))
		}
		route := w.rng.IntN(len(w.failureRatios))
		ok, took := w.answer(route)
		ok, took = toCanaryAnswer(route, ok, took)
		e.Add(&w.baselines[route], ok, took)
		if e.Bad() {
			break
		}
	}
	return e
}

// A bad canary must be reverted long before its fiftieth poor answer, whether it fails or is slow,
// on all routes or on one. A sound canary may only rarely be reverted, although one route often
// fails with any version.
func TestBadCanaryIsReverted(t *testing.T) {
	const rollouts, answers = 300, 250
	w := &simulation{rng: rand.New(rand.NewPCG(3, 4)), failureRatios: []float64{0.004, 0.14, 0, 0.01}}
	for _, c := range []struct {
		name           string
		toCanaryAnswer func(route int, ok bool, took time.Duration) (bool, time.Duration)
		bad            bool
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
		reverted, maxPoor := 0, 0
		for range rollouts {
			if e := w.rollout(answers, c.toCanaryAnswer); e.Bad() {
				reverted++
				maxPoor = max(maxPoor, e.Poor)
			}
		}
		t.Logf("%s: %d of %d reverted, after at most %d poor answers", c.name, reverted, rollouts, maxPoor)
		if c.bad && (reverted < rollouts || maxPoor >= 50) {
			t.Errorf("%s: %d of %d reverted, after at most %d poor answers", c.name, reverted, rollouts, maxPoor)
		}
		if !c.bad && reverted > rollouts/50 {
			t.Errorf("%s: %d of %d reverted", c.name, reverted, rollouts)
		}
	}
}

// A canary is promoted only after enough sound answers, and before the duration of the rollout has
// elapsed.
func TestRolloutIsDecidedInTime(t *testing.T) {
	readAt := time.Unix(1000, 0)
	o := Order{Period: 12 * time.Second}
	if done, promoted := o.DoneAt(readAt), o.PromotedAt(readAt); !promoted.Before(done) || !done.Before(readAt.Add(o.Period)) || !promoted.After(readAt) {
		t.Errorf("promoted at %v, done at %v", promoted, done)
	}
	got := []bool{Evidence{}.Sound(), Evidence{Answers: 30}.Sound(), Evidence{Answers: 30, Poor: 9, Expected: 1}.Sound()}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}
