package main

import "time"

// today and future are the two fleet sizes: the fleet of one user at present, and the fleet of one
// of five pools in one of five regions in two years.
var (
	today = scenario{
		routers: 8, engines: 20, shards: 2, mean: 10, duration: 14 * time.Second, chats: 4000, cacheRatio: 1.7, skew: 0.9,
		run: 4 * time.Minute, reportDelay: time.Second,
	}
	future = scenario{
		routers: 80, engines: 124, shards: 16, mean: 13.5, duration: 14 * time.Second, chats: 40_000, cacheRatio: 1.7, skew: 0.9,
		run: 4 * time.Minute, reportDelay: time.Second,
	}
)

// cases returns the scenarios that are run for each size.
func cases(base scenario, prefix string) []scenario {
	calm := base
	calm.name = prefix + " calm"
	flap := base
	flap.name, flap.flap = prefix+" flapping", 20*time.Second
	views := base
	views.name, views.viewsDiffer = prefix+" views differ", true
	surge := base
	surge.name, surge.surge, surge.heavyShare = prefix+" surge", true, 0.8
	all := base
	all.name, all.flap, all.viewsDiffer, all.surge, all.heavyShare = prefix+" all at once", 20*time.Second, true, true, 0.8
	return []scenario{calm, flap, views, surge, all}
}

func allStrategies() []strategy {
	return []strategy{
		random{}, &roundRobin{}, leastReported{}, twoChoices{}, rendezvous{}, &localShare{}, &lateReports{}, newHomesStrategy(), oracle{},
	}
}

func skew(o options) []row {
	scenarios := cases(today, "8x20")
	if o.Full {
		scenarios = append(scenarios, cases(future, "80x124")...)
	}
	var rows []row
	for _, s := range scenarios {
		rows = append(rows, compare(s, allStrategies(), o.Seed)...)
	}
	return rows
}

// compare runs each strategy with the same arrivals.
func compare(s scenario, strategies []strategy, seed uint64) []row {
	var rows []row
	best := 0.0
	for _, strategy := range strategies {
		w := newSimulation(s, strategy, seed)
		w.simulate()
		r := w.result()
		if r.Strategy == "oracle" {
			best = r.Reuse
		}
		rows = append(rows, r)
	}
	for i := range rows {
		if best > 0 {
			rows[i].ReuseOfOracle = rows[i].Reuse / best
		}
	}
	return rows
}
