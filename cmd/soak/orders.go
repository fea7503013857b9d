package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// orders records when routers received their last orders, by the address from which they connect to targets, and
// everything that happened to each router.
type orders struct {
	mu      sync.Mutex
	at      map[string]time.Time
	history map[*router][]event
	// outages are the times in which all routers were killed.
	outages []outage
}

// event is something that happened to a router or a target.
type event struct {
	at   time.Time
	what string
}

// Events of routers that are no orders to their processes.
const (
	cutOffEvent = "cut off from targets"
	joinedEvent = "joined to targets"
	// dyingEvent and deadEvent limit the time from an order to kill a router until it has ended.
	dyingEvent = "dying"
	deadEvent  = "dead"
	// expireEvent is also the order to end a process whose grace period has ended.
	expireEvent = "expire"
)

func newOrders() *orders {
	return &orders{at: map[string]time.Time{}, history: map[*router][]event{}}
}

// print prints an order for bench/soak to carry out on a router's process.
func (o *orders) print(verb string, r *router) { o.printNumbered(verb, r) }

// printNumbered prints an order that may have a number.
func (o *orders) printNumbered(verb string, r *router, number ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at[r.source.String()] = time.Now()
	o.history[r] = append(o.history[r], event{at: time.Now(), what: verb})
	fmt.Println(append([]any{verb, r.name}, number...)...)
}

// last returns the time of the last order to the router with an address.
func (o *orders) last(source string) (at time.Time, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found = o.at[source]
	return at, found
}

// record records an event of a router that is no order to its process.
func (o *orders) record(what string, r *router) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history[r] = append(o.history[r], event{at: time.Now(), what: what})
}

// had reports whether a router had one of some events between two times.
func (o *orders) had(r *router, from, to time.Time, whats ...string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.history[r], func(e event) bool {
		return slices.Contains(whats, e.what) && !e.at.Before(from) && !e.at.After(to)
	})
}

// wasIn reports whether a router was, at any time between two others, in a state that one event begins and some end.
func (o *orders) wasIn(r *router, from, to time.Time, begin string, ends ...string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	in := false
	for _, e := range o.history[r] {
		if e.at.After(to) {
			break
		}
		if in && e.at.After(from) {
			return true
		}
		in = e.what == begin || in && !slices.Contains(ends, e.what)
	}
	return in
}

// near returns the events of a router between two times.
func (o *orders) near(r *router, from, to time.Time) []event {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []event
	for _, e := range o.history[r] {
		if !e.at.Before(from) && !e.at.After(to) {
			out = append(out, e)
		}
	}
	return out
}

// gracePeriod is the time that a router has to stop, as in its settings.
const gracePeriod = 8 * time.Second

// stopRouter orders a router to stop, and ends its process after the grace period as the platform does.
func (w *harness) stopRouter(r *router) {
	number := w.stops.Add(1)
	w.orders.printNumbered("term", r, number)
	time.AfterFunc(gracePeriod, func() { w.orders.expire(r, number) })
}

// expire ends a router's process if it has not stopped since the order with a number. That is no order to another one.
func (o *orders) expire(r *router, number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history[r] = append(o.history[r], event{at: time.Now(), what: expireEvent})
	fmt.Println(expireEvent, r.name, number)
}
