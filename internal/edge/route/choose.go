package route

import (
	"slices"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
)

// placeLocally places a request by this router's own counts alone.
func (r *Router) placeLocally(p *pool, request TargetRequest) (*Placement, error) {
	const op = "route.Acquire"
	r.mu.Lock()
	defer r.mu.Unlock()
	placeRequest := r.placeRequest(p, request)
	decision := p.state.Local(r.clock(), placeRequest, len(r.assigned.Routers()))
	target, known := p.Target(decision.Engine)
	switch {
	case decision.Result == place.Empty:
		return nil, fault.New(op, NoTarget, nil)
	case decision.Result != place.Placed || !known:
		return nil, fault.New(op, TimedOut, RetryAfter{Wait: time.Second})
	}
	r.permit++
	permit := place.Permit{Edge: r.self.ID, ID: r.permit, Engine: decision.Engine, Work: request.Work}
	if p.Service.Balance == policy.Local {
		placement := r.holdPermit(p, place.ShardID{}, permit, target)
		placement.Basis = decision.Basis
		return placement, nil
	}
	r.stats.LocalPlacements++
	placement := r.holdPermit(p, p.shardOf(decision.Engine), permit, target)
	placement.Basis = decision.Basis
	placement.Holder = r.holder(p, decision.Holder)
	placement.Warm = decision.Warm
	p.recordPlacement(placeRequest, decision.Engine)
	return placement, nil
}

// holder returns a target of the pool from which a prompt prefix can be copied, or nil. It returns
// no unreachable target, since an engine would wait for it in vain. The caller holds the lock.
func (r *Router) holder(p *pool, hash ident.TargetHash) *Target {
	t, ok := p.Target(hash)
	if !ok {
		return nil
	}
	if b, known := r.breakers[hash]; known && b.Tripped() {
		return nil
	}
	return &t
}

// avoidedTargets returns the targets that a placement must avoid and those that are unreachable.
// Targets that accept no requests or are excluded are always avoided. Targets that failed this
// request before and those with an open circuit breaker are avoided only as long as other targets
// remain that may run the request.
func (r *Router) avoidedTargets(p *pool, request TargetRequest) (avoid, unreachable []ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	out := r.unavailable(p)
	available := p.state.UsableOf(request.Version) - len(p.ofVersion(out, request.Version))
	out = append(out, request.excluded...)
	failed := without(request.Avoid, out)
	failedAvailable := len(p.ofVersion(failed, request.Version))
	if failedAvailable >= available {
		// Every target has failed this request once. Try one of them again.
		failed, failedAvailable = nil, 0
	}
	var blocked []ident.TargetHash
	for hash, b := range r.breakers {
		if !p.has(hash) {
			continue
		}
		if b.Tripped() {
			unreachable = append(unreachable, hash)
		}
		if b.Blocked(now) {
			blocked = append(blocked, hash)
		}
	}
	blocked = without(without(blocked, out), failed)
	if len(p.ofVersion(blocked, request.Version)) >= available-failedAvailable {
		// If every circuit breaker is open, an attempt is better than rejecting all requests.
		blocked = nil
	}
	return slices.Concat(failed, blocked, out), unreachable
}

// ofVersion returns those of the targets that accept new work and have a version; an empty version stands for
// all. The caller holds the lock.
func (p *pool) ofVersion(targets []ident.TargetHash, version ident.Version) []ident.TargetHash {
	var out []ident.TargetHash
	for _, hash := range targets {
		e, known := p.Roster.Engine(hash)
		if known && !e.Leaving && (version == "" || e.Version == version) {
			out = append(out, hash)
		}
	}
	return out
}

// without returns the targets that are not among others.
func without(targets, others []ident.TargetHash) []ident.TargetHash {
	var out []ident.TargetHash
	for _, t := range targets {
		if !slices.Contains(others, t) {
			out = append(out, t)
		}
	}
	return out
}
