package main

import (
	"fmt"
	"sync"
	"time"
)

// orders records when routers received their last orders, by the address from which they connect to targets.
type orders struct {
	mu sync.Mutex
	at map[string]time.Time
}

func newOrders() *orders { return &orders{at: map[string]time.Time{}} }

// print prints an order for bench/soak to carry out on a router's process.
func (o *orders) print(verb string, r *router) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at[r.source.String()] = time.Now()
	fmt.Println(verb, r.name)
}

// last returns the time of the last order to the router with an address.
func (o *orders) last(source string) (at time.Time, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found = o.at[source]
	return at, found
}
