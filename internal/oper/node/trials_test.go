package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/canary"
)

// fleetOnTrial is a fleet's trials of one order, with what has been sent.
type fleetOnTrial struct {
	now          time.Time
	rng          *rand.Rand
	trials       []*trials
	all, tried   int
	poor, source int
}

const (
	movedService ident.Service = "s"
	// allowedShare is the part of the requests that a version on trial may get.
	allowedShare = 0.1
)

func newFleetOnTrial(routers int) *fleetOnTrial {
	f := &fleetOnTrial{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(uint64(routers), 9))}
	for range routers {
		f.trials = append(f.trials, f.router())
	}
	return f
}

// router returns a router's trials that have heard of the order a moment ago.
func (f *fleetOnTrial) router() *trials {
	f.source++
	t := newTrials(allowedShare, uint64(f.source), log.NewNopLogger(), func() time.Time { return f.now })
	t.setOrders([]canary.Order{{Service: movedService, Version: "v2", Over: 12 * time.Second, Number: 7}})
	return t
}

// send has a router send a request, which the version on trial fails in some of ten cases.
func (f *fleetOnTrial) send(t *trials, fails int) {
	as := t.Choose(movedService)
	t.Sent(movedService, as)
	f.all++
	onTrial := as != movedService
	ok := !onTrial || f.rng.IntN(10) >= fails
	if onTrial {
		f.tried++
	}
	if !ok {
		f.poor++
	}
	t.Answered(movedService, as, "route", ok, 50*time.Millisecond)
}

// second lets a second pass in which a router sends so many requests on average and exchanges news as often as routers
// do, and one in a hundred is killed and starts anew.
func (f *fleetOnTrial) second(perRouter float64, fails int) {
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		for i, t := range f.trials {
			for n := perRouter / 10; f.rng.Float64() < n; n-- {
				f.send(t, fails)
			}
			if f.rng.IntN(4) == 0 {
				other := f.trials[f.rng.IntN(len(f.trials))]
				other.Heard(t.Reports())
				t.Heard(other.Reports())
			}
			if f.rng.IntN(1000) == 0 {
				f.trials[i] = f.router()
			}
		}
	}
}

// verdicts counts the routers that would write a state.
func (f *fleetOnTrial) verdicts(state canary.State) int {
	n := 0
	for _, t := range f.trials {
		for _, v := range t.verdicts() {
			if v.State == state {
				n++
			}
		}
	}
	return n
}

// A version never gets more than its share of what a fleet sends, while routers are killed and start anew. A bad one is
// given up by all within two seconds after its fiftieth poor answer, before its order's time is over; a sound
// one is done in time.
func TestFleetsJudgeVersions(t *testing.T) {
	for _, routers := range []int{8, 62, 986} {
		for _, fails := range []int{0, 4} {
			f := newFleetOnTrial(routers)
			// As many requests a router as make four hundred a second in a fleet of 62, and one a second in one of 986.
			perRouter := max(400/float64(routers), 1)
			fiftieth, known := -1, -1
			for second := range 12 {
				f.second(perRouter, fails)
				if f.poor >= 50 && fiftieth < 0 {
					fiftieth = second
				}
				if fails > 0 && known < 0 && f.verdicts(canary.Reverted) > routers*3/4 {
					known = second
				}
				if share := float64(f.tried) / float64(f.all); share > allowedShare && second < 10 {
					t.Errorf("%d routers, second %d: a share of %.3f tries the version", routers, second, share)
				}
			}
			done := f.verdicts(canary.Done)
			t.Logf("%d routers, %d of ten fail: %d of %d tried, %d poor, fiftieth in second %d, known in second %d, done at %d",
				routers, fails, f.tried, f.all, f.poor, fiftieth, known, done)
			if fails > 0 && (known < 0 || fiftieth >= 0 && known > fiftieth+2) {
				t.Errorf("%d routers: fiftieth poor answer in second %d, known in second %d", routers, fiftieth, known)
			}
			if fails == 0 && done == 0 {
				t.Errorf("%d routers: a sound version is not done", routers)
			}
		}
	}
}

// What became of an order holds for it alone, and a version whose trial another order ended is kept out.
func TestOrdersFollowEachOther(t *testing.T) {
	tr := newTrials(allowedShare, 1, log.NewNopLogger(), time.Now)
	order := func(version ident.Version, number uint64) canary.Order {
		return canary.Order{Service: movedService, Version: version, Over: time.Minute, Number: number}
	}
	names := func() []ident.Service {
		return []ident.Service{tr.nameOf(movedService, "v1"), tr.nameOf(movedService, "v2"), tr.nameOf(movedService, "v3")}
	}
	became := func(version ident.Version, number uint64, state canary.State) {
		tr.setStatuses(map[ident.Service]written{movedService: {Status: canary.Status{Service: movedService, Version: version, Number: number, State: state}}})
	}
	for _, step := range []struct {
		name string
		do   func()
		want []ident.Service
	}{
		{"no order", func() {}, []ident.Service{"s", "s", "s"}},
		{"on trial", func() { tr.setOrders([]canary.Order{order("v2", 1)}) }, []ident.Service{"s", "s+canary", "s"}},
		{"given up", func() { became("v2", 1, canary.Reverted) }, []ident.Service{"s", "s+retired", "s"}},
		{"ordered again", func() { tr.setOrders([]canary.Order{order("v2", 2)}) }, []ident.Service{"s", "s+canary", "s"}},
		{"another in the middle", func() { tr.setOrders([]canary.Order{order("v3", 3)}) }, []ident.Service{"s", "s+retired", "s+canary"}},
		{"done", func() { became("v3", 3, canary.Done) }, []ident.Service{"s+retired", "s+retired", "s"}},
		{"order gone", func() { tr.setOrders(nil) }, []ident.Service{"s", "s+retired", "s"}},
	} {
		step.do()
		if diff := cmp.Diff(step.want, names()); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
	}
}
