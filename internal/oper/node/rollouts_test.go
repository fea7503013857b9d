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

// canaryFleet simulates a fleet during one rollout and counts the requests sent.
type canaryFleet struct {
	now                      time.Time
	rng                      *rand.Rand
	rollouts                 []*rollouts
	requests, canaryRequests int
	poor, source             int
}

const (
	testService ident.Service = "s"
	// maxCanaryRatio is the maximum part of the requests that a canary version may receive.
	maxCanaryRatio = 0.1
)

func newCanaryFleet(routers int) *canaryFleet {
	f := &canaryFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(uint64(routers), 9))}
	for range routers {
		f.rollouts = append(f.rollouts, f.router())
	}
	return f
}

// router returns the rollouts of a router that has just received the rollout.
func (f *canaryFleet) router() *rollouts {
	f.source++
	r := newRollouts(maxCanaryRatio, uint64(f.source), log.NewNopLogger(), func() time.Time { return f.now })
	r.setRollouts([]canary.Order{{Service: testService, Version: "v2", Period: 12 * time.Second, Number: 7}}, 0)
	return r
}

// send sends a request by a router. The canary version fails the given number of ten requests.
func (f *canaryFleet) send(r *rollouts, fails int) {
	as := r.Choose(testService)
	r.RecordSent(testService, as)
	f.requests++
	onCanary := as != testService
	ok := !onCanary || f.rng.IntN(10) >= fails
	if onCanary {
		f.canaryRequests++
	}
	if !ok {
		f.poor++
	}
	r.Finished(testService, as, "route", ok, 50*time.Millisecond)
}

// second simulates one second, in which each router sends perRouter requests on average and
// exchanges gossip as often as routers do. One in a hundred routers crashes and restarts.
func (f *canaryFleet) second(perRouter float64, fails int) {
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		for i, r := range f.rollouts {
			for n := perRouter / 10; f.rng.Float64() < n; n-- {
				f.send(r, fails)
			}
			if f.rng.IntN(4) == 0 {
				other := f.rollouts[f.rng.IntN(len(f.rollouts))]
				other.MergeReports(r.Reports())
				r.MergeReports(other.Reports())
			}
			if f.rng.IntN(1000) == 0 {
				f.rollouts[i] = f.router()
			}
		}
	}
}

// verdicts returns the number of routers that would write a state.
func (f *canaryFleet) verdicts(state canary.State) int {
	n := 0
	for _, r := range f.rollouts {
		for _, v := range r.verdicts(0) {
			if v.State == state {
				n++
			}
		}
	}
	return n
}

// A canary version never receives more than its part of a fleet's requests while routers crash and
// restart. Routers revert a bad version within two seconds after its fiftieth poor answer and
// before the end of the rollout. The rollout of a sound version completes in time.
func TestFleetJudgesCanaries(t *testing.T) {
	for _, routers := range []int{8, 62, 986} {
		for _, fails := range []int{0, 4} {
			f := newCanaryFleet(routers)
			// This results in 400 requests per second in a fleet of 62 routers, and one per router
			// and second in a fleet of 986.
			perRouter := max(400/float64(routers), 1)
			fiftiethPoorIn, revertedIn := -1, -1
			for second := range 12 {
				f.second(perRouter, fails)
				if f.poor >= 50 && fiftiethPoorIn < 0 {
					fiftiethPoorIn = second
				}
				if fails > 0 && revertedIn < 0 && f.verdicts(canary.Reverted) > routers*3/4 {
					revertedIn = second
				}
				if ratio := float64(f.canaryRequests) / float64(f.requests); ratio > maxCanaryRatio && second < 10 {
					t.Errorf("%d routers, second %d: canary receives a ratio of %.3f", routers, second, ratio)
				}
			}
			done := f.verdicts(canary.Done)
			t.Logf("%d routers, %d of ten fail: %d of %d sent to the canary, %d poor, fiftieth in second %d, reverted in second %d, done at %d",
				routers, fails, f.canaryRequests, f.requests, f.poor, fiftiethPoorIn, revertedIn, done)
			if fails > 0 && (revertedIn < 0 || fiftiethPoorIn >= 0 && revertedIn > fiftiethPoorIn+2) {
				t.Errorf("%d routers: fiftieth poor answer in second %d, reverted in second %d", routers, fiftiethPoorIn, revertedIn)
			}
			if fails == 0 && done == 0 {
				t.Errorf("%d routers: rollout of a sound version is not done", routers)
			}
		}
	}
}

// A status applies only to its own rollout, and a version whose rollout was superseded receives no
// work.
func TestConsecutiveRollouts(t *testing.T) {
	r := newRollouts(maxCanaryRatio, 1, log.NewNopLogger(), time.Now)
	order := func(version ident.Version, number uint64) canary.Order {
		return canary.Order{Service: testService, Version: version, Period: time.Minute, Number: number}
	}
	names := func() []ident.Service {
		return []ident.Service{r.serviceName(testService, "v1"), r.serviceName(testService, "v2"), r.serviceName(testService, "v3")}
	}
	setStatus := func(version ident.Version, number uint64, state canary.State) {
		r.setStatuses(map[ident.Service]statusRow{testService: {Status: canary.Status{Service: testService, Version: version, Number: number, State: state}}})
	}
	for _, step := range []struct {
		name string
		do   func()
		want []ident.Service
	}{
		{"no rollout", func() {}, []ident.Service{"s", "s", "s"}},
		{"canary", func() { r.setRollouts([]canary.Order{order("v2", 1)}, 0) }, []ident.Service{"s", "s+canary", "s"}},
		{"reverted", func() { setStatus("v2", 1, canary.Reverted) }, []ident.Service{"s", "s+retired", "s"}},
		{"repeated", func() { r.setRollouts([]canary.Order{order("v2", 2)}, 0) }, []ident.Service{"s", "s+canary", "s"}},
		{"superseded by another", func() { r.setRollouts([]canary.Order{order("v3", 3)}, 0) }, []ident.Service{"s", "s+retired", "s+canary"}},
		{"done", func() { setStatus("v3", 3, canary.Done) }, []ident.Service{"s+retired", "s+retired", "s"}},
		{"rollout removed", func() { r.setRollouts(nil, 0) }, []ident.Service{"s", "s+retired", "s"}},
	} {
		step.do()
		if diff := cmp.Diff(step.want, names()); diff != "" {
			t.Errorf("%s: %s", step.name, diff)
		}
	}
}
