package node

import (
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// budget keeps this router's part of the fleet's retries, by service.
type budget struct {
	// fleet is how many routers share the allowance.
	fleet func() int

	mu      sync.Mutex
	allowed retry.Allowance
	windows map[ident.Service]*retry.Window
}

// newBudget returns a budget of which nothing is used.
func newBudget(allowed retry.Allowance, fleet func() int) *budget {
	return &budget{allowed: allowed, fleet: fleet, windows: map[ident.Service]*retry.Window{}}
}

// window returns a service's window; the caller holds the lock.
func (b *budget) window(service ident.Service, now time.Time) *retry.Window {
	w, ok := b.windows[service]
	if !ok {
		w = retry.NewWindow(now, b.allowed)
		b.windows[service] = w
	}
	return w
}

// Request notes a caller's request to a service.
func (b *budget) Request(service ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).Request(now)
}

// Retry uses one of the service's retries if there is one.
func (b *budget) Retry(service ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service, now).Retry(now, b.fleet())
}

// allow changes the allowance; what was used of the earlier one counts no more.
func (b *budget) allow(allowed retry.Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.allowed == allowed {
		return
	}
	b.allowed = allowed
	clear(b.windows)
}
