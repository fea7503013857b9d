package main

import "time"

// reuse follows cache reuse through churn: engines flap, a zone goes, a third of
// the routers is replaced, chats are many more than the caches hold.
func reuse(o options) []row {
	// Few enough chats that most requests are of a chat that has been there before.
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
	many.name, many.slack = "8x20 caches hold half the chats", 0.5
	shapes := []shape{calm, flap, zone, replaced, crashed, many}
	if o.Full {
		large := future
		large.name, large.replace = "80x124 third of routers replaced", true
		shapes = append(shapes, large)
	}
	var rows []row
	for _, s := range shapes {
		rows = append(rows, compare(s, []way{random{}, rendezvous{}, &lateReports{}, newHomesWay(), oracle{}}, o.Seed)...)
	}
	return rows
}
