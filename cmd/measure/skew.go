package main

import "time"

// today and future are the two sizes of the brief and the letter: the fleet of
// each user now, and one of five pools in one of five regions in two years.
var (
	today = shape{
		routers: 8, engines: 20, shards: 2, mean: 10, duration: 14 * time.Second, chats: 4000, slack: 1.7, skew: 0.9,
		run: 4 * time.Minute, lag: time.Second,
	}
	future = shape{
		routers: 80, engines: 124, shards: 16, mean: 13.5, duration: 14 * time.Second, chats: 40_000, slack: 1.7, skew: 0.9,
		run: 4 * time.Minute, lag: time.Second,
	}
)

// cases are what each size goes through.
func cases(base shape, prefix string) []shape {
	calm := base
	calm.name = prefix + " calm"
	flap := base
	flap.name, flap.flap = prefix+" flapping", 20*time.Second
	views := base
	views.name, views.disagree = prefix+" views differ", true
	surge := base
	surge.name, surge.surge, surge.heavy = prefix+" surge", true, 0.8
	all := base
	all.name, all.flap, all.disagree, all.surge, all.heavy = prefix+" all at once", 20*time.Second, true, true, 0.8
	return []shape{calm, flap, views, surge, all}
}

func everyWay() []way {
	return []way{
		random{}, &roundRobin{}, leastReported{}, twoChoices{}, rendezvous{}, &localShare{}, &lateReports{}, newHomesWay(), oracle{},
	}
}

func skew(o options) []row {
	shapes := cases(today, "8x20")
	if o.Full {
		shapes = append(shapes, cases(future, "80x124")...)
	}
	var rows []row
	for _, s := range shapes {
		rows = append(rows, compare(s, everyWay(), o.Seed)...)
	}
	return rows
}

// compare runs each way through the same arrivals.
func compare(s shape, ways []way, seed uint64) []row {
	var rows []row
	best := 0.0
	for _, way := range ways {
		w := newWorld(s, way, seed)
		w.play()
		r := w.result()
		if r.Way == "oracle" {
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
