package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
	"valescale/internal/oper/conf"
	"valescale/internal/plat/pause"
	"valescale/internal/rule/policy"
)

// The size of the fleet.
const (
	routers = 8
	engines = 20
	plain   = 4
	// slots is the number of requests that an engine runs at once, and cachedChats the number of chats
	// whose prefixes it caches.
	slots       = 24
	cachedChats = 60
	// wordInterval is the time per word at which the engines generate answers, coldDelay the extra
	// delay of an answer when the engine does not have the chat's prefix cached.
	wordInterval = 32 * time.Millisecond
	coldDelay    = 300 * time.Millisecond
	// plainTime is the duration of a request to the plain service.
	plainTime = 5 * time.Millisecond
)

// The workload and its phases.
const (
	// steadyCallers is the number of concurrent chats of all workspaces together, surgeCallers the
	// number that one workspace adds for a while.
	steadyCallers = 160
	surgeCallers  = 120
	// settleTime is the time before the steady load is measured, for measureTime.
	settleTime  = 3500 * time.Millisecond
	measureTime = 3500 * time.Millisecond
	// phaseDuration is the duration of the surge, and of the count of requests to the leaving engine.
	phaseDuration = 1200 * time.Millisecond
	// leavingGrace is the time for which a leaving engine may still get new requests.
	leavingGrace = 3 * time.Second
	orderCount   = 40
	// allWorkspaces is the index that stands for all workspaces.
	allWorkspaces = -1
	// maxListedFailures limits the kinds of failed requests that are printed.
	maxListedFailures = 10
)

// documents returns the demo's configuration; replacePolicy changes only the priority.
func documents(priority int) string {
	text := fmt.Sprintf(`
[service judge]
kind = engine
echo = true
shards = 2
slots = %d

[service board]
kind = plain

[policy runs]
service = request.path.startsWith("/v1/") ? "judge" : "board"
repeat = request.path == "/orders" ? "never" : "safe"
priority = request.headers.value("x-role") == "moderator" ? 9 : %d
wait = duration("2s")
`, slots, priority)
	for _, w := range workspaces {
		text += fmt.Sprintf("\n[workspace %s]\npolicy = runs\ntoken_sha256 = %s\n", w, policy.HashToken(w))
	}
	return text
}

// demo is one run.
type demo struct {
	fleet       *fleet.Fleet
	workload    *workload
	loadTracker *loadTracker
	operator    *fleet.Operator
	summary     summary
	// pendingWaits wait for the last requests of workloads that have been stopped.
	pendingWaits []func()
}

// logf prints a line.
func logf(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// run starts the fleet, runs all phases under load and returns the results.
func run(ctx context.Context) (summary, error) {
	f, stop, err := fleet.New(fleet.Options{
		Routers: routers, Engines: engines, Plain: plain, PlainTime: plainTime,
		Engine:     target.EngineOptions{PerWord: wordInterval, ColdDelay: coldDelay, CacheSize: cachedChats, Slots: slots, Fenced: true},
		DrainDelay: 300 * time.Millisecond,
		Pace:       conf.Pace{Head: 2 * time.Second},
	})
	if err != nil {
		return summary{}, err
	}
	defer stop()
	l, closeWorkload := newWorkload(f)
	defer closeWorkload()
	d := &demo{fleet: f, workload: l, loadTracker: newLoadTracker(f.Engines), operator: fleet.NewOperator(http.DefaultClient, f.Routers[0].AdminAddr())}
	logf("started %d routers, %d engines in %d availability zones and %d plain replicas", routers, engines, len(fleet.Zones), plain)
	if err := d.configure(ctx); err != nil {
		return summary{}, err
	}
	if err := d.runPhases(ctx); err != nil {
		return summary{}, err
	}
	d.summarize()
	d.printFailures()
	return d.summary, nil
}

// runPhases runs the phases one after the other under a steady load, and waits until the last
// request has ended.
func (d *demo) runPhases(ctx context.Context) error {
	serving, end := context.WithCancel(ctx)
	defer end()
	wait := d.workload.start(serving, steadyCallers, allWorkspaces, 1)
	for _, phase := range []func(context.Context) error{
		d.steadyLoad, d.surge, d.replacePolicy, d.engineLeaves, d.routerStops, d.ordersAndLostAnswers, d.storeDown,
	} {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	end()
	wait()
	for _, w := range d.pendingWaits {
		w()
	}
	return nil
}

// configure puts the first configuration in force on all routers.
func (d *demo) configure(ctx context.Context) error {
	if err := d.fleet.AwaitReady(ctx, 0); err != nil {
		return err
	}
	revision, err := d.operator.Apply(ctx, "first", documents(5))
	if err != nil {
		return err
	}
	logf("the first configuration was stored as revision %d", revision)
	return d.fleet.AwaitReady(ctx, revision)
}

// steadyLoad measures the control traffic and the reuse of caches.
func (d *demo) steadyLoad(ctx context.Context) error {
	pause.Sleep(ctx, settleTime)
	trafficBefore := d.controlTraffic()
	servedBefore, warmBefore := d.served()
	started := time.Now()
	pause.Sleep(ctx, measureTime)
	bytesPerSecond := float64(d.controlTraffic()-trafficBefore) / time.Since(started).Seconds() / routers
	servedAfter, warmAfter := d.served()
	served, warm := servedAfter-servedBefore, warmAfter-warmBefore
	d.summary.ControlBytes = bytesPerSecond
	d.summary.CacheReuse = float64(warm) / float64(max(served, 1))
	logf("steady traffic, %.0f requests/s: %.0f %% found their prefix cached; control traffic %.0f bytes/s per router",
		float64(served)/measureTime.Seconds(), 100*d.summary.CacheReuse, bytesPerSecond)
	return nil
}

// controlTraffic returns the bytes that all routers have sent on control connections.
func (d *demo) controlTraffic() uint64 {
	var sum uint64
	for _, r := range d.fleet.Routers {
		peers, outside := r.Traffic()
		sum += peers.Total() + outside.Total()
	}
	return sum
}

// served returns the number of requests that the engines have served, and how many of them found
// their prefix cached.
func (d *demo) served() (served, warm int) {
	for _, e := range d.fleet.Engines {
		c := e.Counts()
		served += c.Served
		warm += c.Warm
	}
	return served, warm
}

// surge adds many chats of one workspace.
func (d *demo) surge(ctx context.Context) error {
	surge, end := context.WithCancel(ctx)
	defer end()
	wait := d.workload.start(surge, surgeCallers, 0, 2)
	pause.Sleep(ctx, phaseDuration)
	end()
	d.pendingWaits = append(d.pendingWaits, wait)
	logf("traffic surge of %s: the maximum engine load was %.2f times the mean", workspaces[0], d.loadTracker.maxRatio())
	return nil
}

// replacePolicy changes the configuration under load, and measures the time until it is in force.
func (d *demo) replacePolicy(ctx context.Context) error {
	started := time.Now()
	revision, err := d.operator.Apply(ctx, "second", documents(4))
	if err != nil {
		return err
	}
	if err := d.fleet.AwaitReady(ctx, revision); err != nil {
		return err
	}
	d.summary.PolicyInForceMs = time.Since(started).Milliseconds()
	logf("policy replaced under traffic: revision %d in force on all routers after %d ms", revision, d.summary.PolicyInForceMs)
	return nil
}

// engineLeaves makes an engine report that it is leaving, and counts the requests that it gets later.
func (d *demo) engineLeaves(ctx context.Context) error {
	leaving := d.fleet.Engines[3]
	leaving.Leave()
	d.loadTracker.exclude(leaving)
	pause.Sleep(ctx, leavingGrace)
	d.loadTracker.resetLate()
	pause.Sleep(ctx, phaseDuration)
	d.summary.RequestsToLeaving = d.loadTracker.lateCount()
	logf("engine %s reported that it is leaving; after a grace period of %s it got %d new requests", leaving.ID, leavingGrace, d.summary.RequestsToLeaving)
	return nil
}

// routerStops stops a router gracefully under load.
func (d *demo) routerStops(context.Context) error {
	r := d.fleet.Routers[len(d.fleet.Routers)-1]
	// The load balancer sees that the router is no longer ready and stops sending to it.
	r.OnLeave(func() { d.workload.removeFromBalancer(r.CallerAddr()) })
	r.Stop()
	d.fleet.Unlist(string(r.ID))
	logf("router %s stopped gracefully with requests in flight; %d answers were cut off", r.ID, d.workload.cutOffCount())
	return nil
}

// ordersAndLostAnswers sends each order three times while responses are lost.
func (d *demo) ordersAndLostAnswers(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(7, 7))
	d.fleet.Store.LoseResponses(orderCount)
	d.fleet.Plain[0].LoseResponses(2)
	var wg sync.WaitGroup
	for i := range orderCount {
		own := rand.New(rand.NewPCG(rng.Uint64(), 7))
		wg.Go(func() { d.workload.submitOrder(ctx, own, fmt.Sprintf("order-%d", i)) })
	}
	wg.Wait()
	logf("%d orders, each sent to two routers concurrently and then once more, while responses of the store and the service were dropped", orderCount)
	return nil
}

// storeDown sends an order while the store does not respond.
func (d *demo) storeDown(ctx context.Context) error {
	d.fleet.Store.SetDown(true)
	before := d.workload.completeCount()
	rng := rand.New(rand.NewPCG(8, 8))
	d.workload.sendOrder(ctx, d.workload.routerAddr(rng), "order-store-down")
	d.fleet.Store.SetDown(false)
	logf("store outage: %d chats were answered during it, an order got the outcomes %v",
		d.workload.completeCount()-before, d.workload.outcomesOf("order-store-down"))
	return nil
}

// summarize completes the summary after the last request has ended.
func (d *demo) summarize() {
	d.workload.fillSummary(&d.summary)
	d.summary.MaxLoadRatio = round(d.loadTracker.maxRatio())
	d.summary.MaxExcess = round(d.loadTracker.maxExcess())
	d.summary.ControlBytes = round(d.summary.ControlBytes)
	d.summary.CacheReuse = round(d.summary.CacheReuse)
	var permitRequests, placed uint64
	for _, r := range d.fleet.Routers {
		s := r.Stats()
		permitRequests += s.PermitRequests
		placed += s.Placed
	}
	d.summary.PermitRequestsPerRequest = round(float64(permitRequests) / float64(max(placed, 1)))
}

// printFailures prints the kinds of requests that did not succeed, with their number.
func (d *demo) printFailures() {
	var kinds []string
	for kind, n := range d.workload.failures {
		kinds = append(kinds, fmt.Sprintf("%d times %s", n, kind))
	}
	sort.Strings(kinds)
	for _, k := range kinds[:min(len(kinds), maxListedFailures)] {
		logf("  %s", k)
	}
}

// round rounds a figure to three decimals.
func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }
