package node

import (
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// retryBudget holds this router's part of the fleet's retry budget, by service.
type retryBudget struct {
	// fleetSize returns the number of routers that share the allowance.
	fleetSize func() int

	mu        sync.Mutex
	allowance retry.Allowance
	windows   map[ident.Service]*retry.Window
	// start is the time from which all retries of this router are recorded in the windows.
	start time.Time
}

// newRetryBudget returns the budget of a router that starts now.
func newRetryBudget(now time.Time, allowance retry.Allowance, fleetSize func() int) *retryBudget {
	return &retryBudget{allowance: allowance, fleetSize: fleetSize, start: now, windows: map[ident.Service]*retry.Window{}}
}

// window returns the window of a service. The caller holds the lock. The window starts with the
// router, not with the service's first request: otherwise a router that receives one request in
// several seconds would have no retries for its first ones.
func (b *retryBudget) window(service ident.Service) *retry.Window {
	w, ok := b.windows[service]
	if !ok {
		w = retry.NewWindow(b.start, b.allowance)
		b.windows[service] = w
	}
	return w
}

// Request records a caller's request to a service.
func (b *retryBudget) Request(service ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).Request(now)
}

// HasRetry reports whether Retry would find one available.
func (b *retryBudget) HasRetry(service ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).HasRetry(now, b.fleetSize())
}

// Retry consumes one of the service's retries and reports whether one was available.
func (b *retryBudget) Retry(service ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Retry(now, b.fleetSize())
}

// Usage returns the state of the service's window, for logs.
func (b *retryBudget) Usage(service ident.Service, now time.Time) retry.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Usage(now, b.fleetSize())
}

// setAllowance changes the allowance. Retries consumed under the earlier one are discarded.
func (b *retryBudget) setAllowance(now time.Time, allowance retry.Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.allowance == allowance {
		return
	}
	b.allowance, b.start = allowance, now
	clear(b.windows)
}
