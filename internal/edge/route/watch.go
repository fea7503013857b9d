package route

import (
	"time"

	"valescale/internal/plat/ident"
)

// Watcher is told what a router comes to believe of homes and targets. It may be called with
// the router's lock held and must not call the router.
type Watcher interface {
	// Noticed says what a target said of itself.
	Noticed(target Target, n Notice)
	// PassedOver says that a home did not answer and for how long the next in line is asked.
	PassedOver(home ident.Router, wait time.Duration)
	// CutOff says that this router decides alone from now on, or that a home has answered again.
	CutOff(cut bool)
}

// Watch has a watcher told from now on.
func (r *Router) Watch(w Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watcher = w
}

// noteFailure counts a call to a home that failed; the caller holds the lock.
func (r *Router) recordHomeFailure() {
	r.homeFailures++
	r.isolatedUntil = r.clock().Add(isolatedRetryInterval)
	if r.homeFailures == isolationThreshold && r.watcher != nil {
		r.watcher.CutOff(true)
	}
}

// noteAnswer notes that a home has answered; the caller holds the lock.
func (r *Router) recordHomeResponse() {
	if r.homeFailures >= isolationThreshold && r.watcher != nil {
		r.watcher.CutOff(false)
	}
	r.homeFailures = 0
}
