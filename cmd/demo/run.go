package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
	"valescale/internal/oper/conf"
	"valescale/internal/rule/policy"
)

const (
	routers    = 8
	engines    = 20
	plain      = 4
	slots      = 24
	steady     = 120
	surging    = 200
	steadyTime = 4 * time.Second
	surgeTime  = 3 * time.Second
	phaseTime  = 3 * time.Second
	// leavingGrace is how long a leaving engine may still get new work.
	leavingGrace = 3 * time.Second
	orders       = 40
)

// documents are the demo's configuration; the priority is what the replaced policy changes.
func documents(priority int) string {
	text := fmt.Sprintf(`
[service judge]
kind = engine
shards = 8
slots = %d

[service board]
kind = plain

[policy runs]
service = request.path.startsWith("/v1/") ? "judge" : "board"
repeat = request.path == "/orders" ? "never" : "safe"
priority = request.headers.value("x-role") == "moderator" ? 9 : %d
wait = duration("5s")
`, slots, priority)
	for _, w := range workspaces {
		text += fmt.Sprintf("\n[workspace %s]\npolicy = runs\ntoken_sha256 = %s\n", w, policy.HashToken(w))
	}
	return text
}

type demo struct {
	fleet    *fleet.Fleet
	load     *load
	gauge    *gauge
	operator *fleet.Operator
	summary  summary
}

func say(format string, args ...any) { fmt.Printf(format+"\n", args...) }

func run(ctx context.Context) (summary, error) {
	f, stop, err := fleet.New(fleet.Options{
		Routers: routers, Engines: engines, Plain: plain, PlainTime: 5 * time.Millisecond,
		Engine:     target.EngineOptions{PerWord: 10 * time.Millisecond, Cold: 60 * time.Millisecond, Cache: 60, Slots: slots, Fenced: true},
		DrainDelay: 300 * time.Millisecond,
		Pace:       conf.Pace{Head: 2 * time.Second},
	})
	if err != nil {
		return summary{}, err
	}
	defer stop()
	l, closeLoad := newLoad(f)
	defer closeLoad()
	d := &demo{fleet: f, load: l, gauge: newGauge(f.Engines), operator: fleet.NewOperator(http.DefaultClient, f.Routers[0].AdminAddr())}
	say("%d routers, %d engines in %d availability zones and %d plain replicas are up", routers, engines, len(fleet.Zones), plain)
	for _, phase := range []func(context.Context) error{
		d.configure, d.steady, d.surge, d.replacePolicy, d.engineLeaves, d.routerStops, d.ordersAndLostAnswers, d.storeDown,
	} {
		if err := phase(ctx); err != nil {
			return summary{}, err
		}
	}
	d.close()
	return d.summary, nil
}

func (d *demo) configure(ctx context.Context) error {
	if err := d.fleet.AwaitReady(ctx, 0); err != nil {
		return err
	}
	revision, err := d.operator.Apply(ctx, "first", documents(5))
	if err != nil {
		return err
	}
	say("the first configuration is recorded as revision %d", revision)
	return d.fleet.AwaitReady(ctx, revision)
}

func (d *demo) steady(ctx context.Context) error {
	before := d.traffic()
	started := time.Now()
	d.load.run(ctx, steadyTime, steady, surge{}, 1)
	spent := float64(d.traffic()-before) / time.Since(started).Seconds() / routers
	d.summary.ControlBytes = spent
	d.summary.CacheReuse = d.reuse()
	say("returning chats for %s: %.0f in 100 found their context, %.0f bytes a second of control traffic a router",
		steadyTime, 100*d.summary.CacheReuse, spent)
	return nil
}

// traffic is all that the routers have sent on control connections.
func (d *demo) traffic() uint64 {
	var sum uint64
	for _, r := range d.fleet.Routers {
		sum += r.Traffic().Total()
	}
	return sum
}

func (d *demo) reuse() float64 {
	served, warm := 0, 0
	for _, e := range d.fleet.Engines {
		c := e.Counts()
		served += c.Served
		warm += c.Warm
	}
	return float64(warm) / float64(max(served, 1))
}

func (d *demo) surge(ctx context.Context) error {
	d.load.run(ctx, surgeTime, surging, surge{workspace: 0, times: 10}, 2)
	say("%s surged to ten times the others; the worst engine had %.2f times the mean load", workspaces[0], d.gauge.worst)
	return nil
}

// during runs work while chats go on.
func (d *demo) during(ctx context.Context, seed uint64, work func() error) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.load.run(ctx, phaseTime, steady, surge{}, seed)
	}()
	err := work()
	<-done
	return err
}

func (d *demo) replacePolicy(ctx context.Context) error {
	return d.during(ctx, 3, func() error {
		started := time.Now()
		revision, err := d.operator.Apply(ctx, "second", documents(4))
		if err != nil {
			return err
		}
		if err := d.fleet.AwaitReady(ctx, revision); err != nil {
			return err
		}
		d.summary.PolicyInForce = time.Since(started).Milliseconds()
		say("a policy was replaced while serving: revision %d in force on all routers after %d ms", revision, d.summary.PolicyInForce)
		return nil
	})
}

func (d *demo) engineLeaves(ctx context.Context) error {
	leaving := d.fleet.Engines[3]
	leaving.Leave()
	if err := d.during(ctx, 4, func() error { return nil }); err != nil {
		return err
	}
	// The phase lasted as long as new work may still come; from here on none may.
	d.gauge.leave(leaving)
	d.load.run(ctx, time.Second, steady, surge{}, 5)
	d.summary.LateToLeaving = d.gauge.late
	say("engine %s said that it leaves; %s later it got %d new requests in a second", leaving.ID, leavingGrace, d.gauge.late)
	return nil
}

func (d *demo) routerStops(ctx context.Context) error {
	r := d.fleet.Routers[len(d.fleet.Routers)-1]
	return d.during(ctx, 6, func() error {
		go func() {
			// The balancer sees that the router is not ready and stops sending to it.
			for r.Ready() {
				time.Sleep(time.Millisecond)
			}
			d.load.unbalance(r.CallerAddr())
		}()
		r.Stop()
		d.fleet.Unlist(string(r.ID))
		say("router %s stopped as planned with requests in flight; %d answers were cut off", r.ID, d.load.cut)
		return nil
	})
}

func (d *demo) ordersAndLostAnswers(ctx context.Context) error {
	return d.during(ctx, 7, func() error {
		rng := rand.New(rand.NewPCG(7, 7))
		d.fleet.Store.LoseAnswers(orders)
		d.fleet.Plain[0].LoseAnswers(2)
		for i := range orders {
			d.load.order(ctx, rng, fmt.Sprintf("order-%d", i))
		}
		say("%d orders, each sent to two routers at once and once more, with answers of store and service lost", orders)
		return nil
	})
}

func (d *demo) storeDown(ctx context.Context) error {
	d.fleet.Store.SetDown(true)
	before := d.load.right
	err := d.during(ctx, 8, func() error {
		rng := rand.New(rand.NewPCG(8, 8))
		d.load.oneOrder(ctx, d.load.addr(rng), "order-store-down")
		return nil
	})
	d.fleet.Store.SetDown(false)
	say("the store was down for a while: %d chats were answered meanwhile, an order was told %v",
		d.load.right-before, d.load.orders["order-store-down"])
	return err
}

func (d *demo) close() {
	d.load.settle(&d.summary)
	d.summary.MaxLoadRatio = round(d.gauge.worst)
	d.summary.MaxExcess = round(d.gauge.excess)
	d.summary.ControlBytes = round(d.summary.ControlBytes)
	d.summary.CacheReuse = round(d.summary.CacheReuse)
	var asked, placed uint64
	for _, r := range d.fleet.Routers {
		s := r.Stats()
		asked += s.Asked
		placed += s.Placed
	}
	d.summary.PermitsPerCall = round(float64(asked) / float64(max(placed, 1)))
	var kinds []string
	for kind, n := range d.load.failures {
		kinds = append(kinds, fmt.Sprintf("%d times %s", n, kind))
	}
	sort.Strings(kinds)
	for _, k := range kinds[:min(len(kinds), 10)] {
		say("  %s", k)
	}
}

func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }
