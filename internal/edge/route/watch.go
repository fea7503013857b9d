package route

import (
	"time"

	"valescale/internal/plat/ident"
)

// Watcher receives the changes of a router's state of homes and targets. Its methods may be called
// with the router's lock held and must not call the router.
type Watcher interface {
	// TargetReported receives the state that a target reported in an answer.
	TargetReported(target Target, n Notice)
	// HomeSkipped receives a home that did not respond, and for how long its standby is used.
	HomeSkipped(home ident.Router, wait time.Duration)
	// Isolated receives true when this router becomes isolated and places requests locally, and
	// false when a home responds again.
	Isolated(isolated bool)
}

// Watch sets the watcher.
func (r *Router) Watch(w Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watcher = w
}

// recordHomeFailure counts a failed call to a home. The caller holds the lock.
func (r *Router) recordHomeFailure() {
	r.homeFailures++
	r.isolatedUntil = r.clock().Add(isolatedRetryInterval)
	if r.homeFailures == isolationThreshold && r.watcher != nil {
		r.watcher.Isolated(true)
	}
}

// recordHomeResponse records that a home responded. The caller holds the lock.
func (r *Router) recordHomeResponse() {
	if r.homeFailures >= isolationThreshold && r.watcher != nil {
		r.watcher.Isolated(false)
	}
	r.homeFailures = 0
}
