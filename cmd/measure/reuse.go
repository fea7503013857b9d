package main

import "time"

// reuse measures cache reuse under churn: engines flap, a zone fails, a third of the routers is
// replaced, and there are many more chats than the caches hold.
func reuse(o options) []row {
	// With so few chats, most requests belong to a chat that has had a request before.
	returning := today
	returning.chats, returning.run = 1000, 10*time.Minute
	calm := returning
	calm.name = "8x20 calm"
	flap := returning
	flap.name, flap.flap = "8x20 flapping", 20*time.Second
	zone := returning
	zone.name, zone.zoneLost = "8x20 zone lost", true
	replaced := returning
	replaced.name, replaced.replace = "8x20 third of routers replaced", true
	crashed := returning
	crashed.name, crashed.crash = "8x20 a home crashes each 20 s", true
	many := returning
	many.name, many.cacheRatio = "8x20 caches hold half the chats", 0.5
	scenarios := []scenario{calm, flap, zone, replaced, crashed, many}
	if o.Full {
		large := future
		large.name, large.replace = "80x124 third of routers replaced", true
		scenarios = append(scenarios, large)
	}
	var rows []row
	for _, s := range scenarios {
		rows = append(rows, compare(s, []strategy{random{}, rendezvous{}, &lateReports{}, newHomesStrategy(), oracle{}}, o.Seed)...)
	}
	return rows
}
