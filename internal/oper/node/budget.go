package node

import (
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// budget keeps this router's part of the fleet's retries, by service.
type retryBudget struct {
	// fleet is how many routers share the allowance.
	fleetSize func() int

	mu        sync.Mutex
	allowance retry.Allowance
	windows   map[ident.Service]*retry.Window
	// began is since when this router has used nothing that is not in the windows.
	start time.Time
}

// newBudget returns the budget of a router that starts now.
func newRetryBudget(now time.Time, allowance retry.Allowance, fleetSize func() int) *retryBudget {
	return &retryBudget{allowance: allowance, fleetSize: fleetSize, start: now, windows: map[ident.Service]*retry.Window{}}
}

// window returns a service's window; the caller holds the lock. It counts from the router's start, not from the service's
// first request: a router that sees one in some seconds would have no retry for its first ones.
func (b *retryBudget) window(service ident.Service) *retry.Window {
	w, ok := b.windows[service]
	if !ok {
		w = retry.NewWindow(b.start, b.allowance)
		b.windows[service] = w
	}
	return w
}

// Request notes a caller's request to a service.
func (b *retryBudget) Request(service ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).Request(now)
}

// Retry uses one of the service's retries if there is one.
func (b *retryBudget) Retry(service ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Retry(now, b.fleetSize())
}

// allow changes the allowance; what was used of the earlier one counts no more.
func (b *retryBudget) setAllowance(now time.Time, allowance retry.Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.allowance == allowance {
		return
	}
	b.allowance, b.start = allowance, now
	clear(b.windows)
}
