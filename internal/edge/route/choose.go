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
func (r *Router) local(p *pool, ask Ask) (*Placement, error) {
	const op = "route.Acquire"
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.request(p, ask)
	d := p.picture.Local(r.clock(), request, len(r.assigned.Routers()))
	target, known := p.Target(d.Engine)
	switch {
	case d.Result == place.Empty:
		return nil, fault.New(op, NoTarget, nil)
	case d.Result != place.Placed || !known:
		return nil, fault.New(op, TimedOut, RetryAfter{Wait: time.Second})
	}
	r.permit++
	permit := place.Permit{Edge: r.self.ID, ID: r.permit, Engine: d.Engine, Work: ask.Work}
	if p.Service.Balance == policy.Local {
		placement := r.hold(p, place.ShardID{}, permit, target)
		placement.Basis = d.Basis
		return placement, nil
	}
	r.stats.Fallback++
	placement := r.hold(p, p.shardOf(d.Engine), permit, target)
	placement.Basis = d.Basis
	placement.Holder = r.holder(p, d.Holder)
	placement.Warm = d.Warm
	p.remember(request, d.Engine)
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
func (r *Router) troubled(p *pool, ask Ask) (avoid, lost []ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	out, _ := r.refusing(p)
	open := p.picture.Usable() - len(out)
	out = append(out, ask.withheld...)
	tried := without(ask.Avoid, out)
	if len(tried) >= open {
		// Each has failed this request once; another try is all that is left.
		tried = nil
	}
	var blocked []ident.TargetHash
	for hash, b := range r.breakers {
		if !p.has(hash) {
			continue
		}
		if b.Tripped() {
			lost = append(lost, hash)
		}
		if b.Blocked(now) {
			blocked = append(blocked, hash)
		}
	}
	blocked = without(blocked, out)
	if len(blocked) >= open {
		// With every breaker open, trying is better than refusing everything.
		blocked = nil
	}
	return slices.Concat(tried, blocked, out), lost
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
