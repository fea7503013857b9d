package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// modelAllowance is the allowance of the fleets of these tests.
var modelAllowance = Allowance{Ratio: 0.2, Extra: 54, Span: 10 * time.Second}

const (
	// modelTick is the step of the model's time.
	modelTick = 10 * time.Millisecond
	// modelFailRatio is the part of attempts that fail during a fault, modelAttempts the attempts of a request.
	modelFailRatio = 0.6
	modelAttempts  = 2
	// modelRate is the number of requests a second.
	modelRate = 200
)

// modelFleet is a fleet of routers whose callers send requests at a steady rate to routers that run.
type modelFleet struct {
	rng     *rand.Rand
	windows []*Window
	// weights are the shares of the callers at each router; zero means that it does not run.
	weights           []float64
	requests, retries []time.Time
}

// newModelFleet returns a fleet of routers that start now.
func newModelFleet(seed uint64, now time.Time, routers int) *modelFleet {
	f := &modelFleet{rng: rand.New(rand.NewPCG(seed, 65))}
	for range routers {
		f.windows = append(f.windows, NewWindow(now, modelAllowance))
		f.weights = append(f.weights, 1)
	}
	return f
}

// restart replaces the process of a router.
func (f *modelFleet) restart(now time.Time, router int) {
	f.windows[router] = NewWindow(now, modelAllowance)
	f.weights[router] = 1
}

// tick sends the requests of one step, of which some fail during a fault.
func (f *modelFleet) tick(now time.Time, fault bool) {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	if total == 0 {
		return
	}
	for range int(modelRate * modelTick.Seconds()) {
		at, left := 0, f.rng.Float64()*total
		for left -= f.weights[at]; left > 0 && at < len(f.weights)-1; left -= f.weights[at] {
			at++
		}
		f.requests = append(f.requests, now)
		f.windows[at].Request(now)
		for range modelAttempts {
			if fault && f.rng.Float64() < modelFailRatio && f.windows[at].Retry(now, len(f.windows)) {
				f.retries = append(f.retries, now)
			}
		}
	}
}

// Guards against requests that earn retries twice across a restart: routers spend in the first seconds of a
// fault what the window before has earned, all of them end, and their successors spend anew.
func TestRestartDuringAFaultKeepsTheAllowance(t *testing.T) {
	const routers = 7
	start := time.Unix(1000, 0)
	fault := start.Add(30 * time.Second)
	for _, delay := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		f := newModelFleet(1, start, routers)
		for now := start; now.Before(fault.Add(30 * time.Second)); now = now.Add(modelTick) {
			for i := range routers {
				if now.Equal(fault.Add(delay)) {
					f.restart(now, i)
				}
			}
			f.tick(now, !now.Before(fault))
		}
		checkAllowance(t, uint64(delay), modelAllowance, f.requests, f.retries)
	}
}

// Guards against requests that earn retries twice across routers: some spend all that their callers have earned
// and stop, and the callers earn anew at the others.
func TestCallersThatMoveKeepTheAllowance(t *testing.T) {
	const routers = 8
	start := time.Unix(1000, 0)
	fault := start.Add(30 * time.Second)
	f := newModelFleet(1, start, routers)
	for now := start; now.Before(fault.Add(30 * time.Second)); now = now.Add(modelTick) {
		if now.Equal(fault.Add(4 * time.Second)) {
			clear(f.weights[:6])
		}
		f.tick(now, !now.Before(fault))
	}
	checkAllowance(t, 1, modelAllowance, f.requests, f.retries)
}

// Guards against any order of starts, ends, moves of callers and faults in which the fleet passes its allowance.
func TestAnyOrderOfRestartsAndFaultsKeepsTheAllowance(t *testing.T) {
	const routers, seeds = 8, 40
	start := time.Unix(1000, 0)
	for seed := range uint64(seeds) {
		f := newModelFleet(seed, start, routers)
		fault := false
		for now := start; now.Before(start.Add(90 * time.Second)); now = now.Add(modelTick) {
			router := f.rng.IntN(routers)
			switch f.rng.IntN(2000) {
			case 0, 1, 2, 3:
				fault = !fault
			case 4, 5, 6, 7, 8, 9:
				f.restart(now, router)
			case 10, 11, 12:
				f.weights[router] = 0
			case 13, 14, 15:
				f.weights[router] = 4 * f.rng.Float64()
			case 16, 17:
				for i := range routers {
					f.restart(now, i)
				}
			}
			f.tick(now, fault)
		}
		checkAllowance(t, seed, modelAllowance, f.requests, f.retries)
	}
}
