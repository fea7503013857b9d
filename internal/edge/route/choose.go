package route

import (
	"slices"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
)

// local decides from this router's own counts alone.
func (r *Router) placeLocally(p *pool, request Ask) (*Placement, error) {
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
	r.stats.Fallback++
	placement := r.holdPermit(p, p.shardOf(decision.Engine), permit, target)
	placement.Basis = decision.Basis
	placement.Holder = r.holder(p, decision.Holder)
	placement.Warm = decision.Warm
	p.recordPlacement(placeRequest, decision.Engine)
	return placement, nil
}

// holder returns a target of the pool from which a prompt can be copied, or nil: an
// engine would wait in vain for one that does not answer. The caller holds the lock.
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

// troubled returns the targets that an ask must avoid and those that cannot be reached. It avoids those that
// want no requests or are withheld in any case; those that failed the request before, and those whose breakers are open,
// as long as that leaves others to try.
func (r *Router) avoidedTargets(p *pool, request Ask) (avoid, unreachable []ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	out, _ := r.unavailable(p)
	available := p.state.Usable() - len(out)
	out = append(out, request.excluded...)
	failed := without(request.Avoid, out)
	if len(failed) >= available {
		// Each has failed this request once; another try is all that is left.
		failed = nil
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
	blocked = without(blocked, out)
	if len(blocked) >= available {
		// With every breaker open, trying is better than refusing everything.
		blocked = nil
	}
	return slices.Concat(failed, blocked, out), unreachable
}

// without returns the targets that are not among some others.
func without(targets, others []ident.TargetHash) []ident.TargetHash {
	var out []ident.TargetHash
	for _, t := range targets {
		if !slices.Contains(others, t) {
			out = append(out, t)
		}
	}
	return out
}
