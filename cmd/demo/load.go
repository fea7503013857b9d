package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
	"valescale/internal/plat/pause"
	"valescale/internal/rule/retry"
)

// workspaces are the workspaces of the demo; the token of each is its name.
var workspaces = []string{"bogota", "medellin", "cali"}

const (
	// chats is the number of chats, some of which return far more often than others.
	chats = 100
	// chatWords is the mean number of words of an answer.
	chatWords = 80
	// rampUpTime is the time over which the callers of a workload start.
	rampUpTime = time.Second
)

// workload sends requests and counts the outcomes.
type workload struct {
	fleet *fleet.Fleet
	// callers are the callers of each workspace.
	callers []*fleet.Caller
	mu      sync.Mutex
	// addrs are the routers' addresses that the load balancer sends to.
	addrs    []string
	sent     int
	complete int
	wrong    int
	// cutOff is the number of incomplete answers without an outcome that marks them.
	cutOff int
	// notRun contains the questions whose callers received a not-run outcome.
	notRun  []string
	unknown int
	// orders contains the outcomes that callers received, by order.
	orders map[string][]retry.Outcome
	// failures counts the unsuccessful requests by description.
	failures map[string]int
}

func newWorkload(f *fleet.Fleet) (*workload, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	l := &workload{fleet: f, orders: map[string][]retry.Outcome{}, failures: map[string]int{}}
	for _, name := range workspaces {
		l.callers = append(l.callers, &fleet.Caller{HTTP: &http.Client{Transport: transport}, Token: name})
	}
	for _, r := range f.Routers {
		l.addrs = append(l.addrs, r.CallerAddr())
	}
	return l, transport.CloseIdleConnections
}

// routerAddr picks a router at random, as the platform's load balancer would.
func (l *workload) routerAddr(rng *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addrs[rng.IntN(len(l.addrs))]
}

// removeFromBalancer removes a router from the load balancer.
func (l *workload) removeFromBalancer(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs = slices.DeleteFunc(l.addrs, func(a string) bool { return a == addr })
}

// start keeps a number of concurrent chats running until the context is cancelled: chats of the
// workspace with an index, or of all alike if that is allWorkspaces. The returned function waits until
// the last request has ended.
func (l *workload) start(ctx context.Context, concurrency, workspace int, seed uint64) (wait func()) {
	var wg sync.WaitGroup
	for w := range concurrency {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			// Spread the first requests over rampUpTime, so that they don't arrive at the same moment.
			pause.Sleep(ctx, time.Duration(rng.Int64N(int64(rampUpTime))))
			for n := 0; ctx.Err() == nil; n++ {
				// The context is not cancelled, so that the end of the workload never cuts an answer off.
				l.chat(context.WithoutCancel(ctx), rng, workspace, fmt.Sprintf("%d/%d/%d", seed, w, n))
			}
		})
	}
	return wg.Wait
}

// chat sends one question of a random chat and counts its outcome.
func (l *workload) chat(ctx context.Context, rng *rand.Rand, workspace int, id string) {
	caller := workspace
	if workspace == allWorkspaces {
		caller = rng.IntN(len(l.callers))
	}
	// Squaring makes some chats return far more often than others.
	u := rng.Float64()
	chat := fmt.Sprintf("chat-%d", int(u*u*chats))
	question := "question " + id + " of " + chat
	words := chatWords/2 + rng.IntN(chatWords)
	r := l.callers[caller].Chat(ctx, l.routerAddr(rng), chat, question, words, rng.IntN(4) > 0)
	l.recordChat(r, question, words)
}

// recordChat counts the outcome of a question.
func (l *workload) recordChat(r fleet.Result, question string, words int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	switch {
	case r.Correct(question, words):
		l.complete++
	case r.Complete && r.Status == http.StatusOK:
		l.wrong++
		l.failures[fmt.Sprintf("unexpected answer %q to %q", r.Text, question)]++
	case r.Outcome == retry.NotRun:
		l.notRun = append(l.notRun, question)
		l.failures["not run: "+string(r.Code)]++
	case r.Outcome == retry.Unknown:
		l.unknown++
		l.failures["unknown: "+string(r.Code)]++
	default:
		l.cutOff++
		l.failures[fmt.Sprintf("cut off: status %d, %v", r.Status, r.Err)]++
	}
}

// submitOrder sends one order, which must not be executed twice, to two routers concurrently and
// once more after both have responded.
func (l *workload) submitOrder(ctx context.Context, rng *rand.Rand, key string) {
	var wg sync.WaitGroup
	for range 2 {
		routerAddr := l.routerAddr(rng)
		wg.Go(func() { l.sendOrder(ctx, routerAddr, key) })
	}
	wg.Wait()
	l.sendOrder(ctx, l.routerAddr(rng), key)
}

func (l *workload) sendOrder(ctx context.Context, addr, key string) {
	r := l.callers[0].Order(ctx, addr, key, "roses for "+key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.orders[key] = append(l.orders[key], r.Outcome)
	switch {
	case r.Outcome == retry.Done && r.Complete:
		l.complete++
	case r.Outcome == retry.Unknown:
		l.unknown++
	case r.Outcome != retry.NotRun:
		l.cutOff++
		l.failures[fmt.Sprintf("order cut off: status %d, %v", r.Status, r.Err)]++
	}
}

// fillSummary compares the outcomes that callers received with what was executed.
func (l *workload) fillSummary(s *summary) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Requests, s.CompleteAnswers, s.WrongAnswers, s.CutOff = l.sent, l.complete, l.wrong, l.cutOff
	s.ToldNotRun, s.ToldUnknown = len(l.notRun), l.unknown
	for _, question := range l.notRun {
		for _, e := range l.fleet.Engines {
			if e.HasRun(question) {
				s.FalseNotRun++
			}
		}
	}
	runs := target.TotalRuns(l.fleet.Plain)
	for key, outcomes := range l.orders {
		s.addOrder(outcomes, runs[key])
	}
}

// addOrder compares the outcomes that the callers of one order received with how often it was
// executed.
func (s *summary) addOrder(outcomes []retry.Outcome, runs int) {
	notRun := 0
	for _, o := range outcomes {
		if o == retry.NotRun {
			notRun++
		}
	}
	s.ToldNotRun += notRun
	if runs > 1 {
		s.Repeated++
	}
	if notRun == len(outcomes) && runs > 0 {
		s.FalseNotRun++
	}
}

// cutOffCount returns the number of incomplete answers without an outcome that marks them.
func (l *workload) cutOffCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff
}

func (l *workload) completeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}

// outcomesOf returns the outcomes that the callers of one order received.
func (l *workload) outcomesOf(key string) []retry.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders[key]
}
