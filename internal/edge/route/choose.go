package route

import (
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
	target, known := p.Targets[d.Engine]
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
	t, ok := p.Targets[hash]
	if !ok {
		return nil
	}
	if b, known := r.breakers[hash]; known && b.Tripped() {
		return nil
	}
	return &t
}

// troubled adds the targets whose breakers are open to those to avoid, and lists those
// that cannot be reached.
func (r *Router) troubled(p *pool, avoid []ident.TargetHash) (avoided, lost []ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if len(avoid) >= p.picture.Usable() {
		// Each has failed this request once; another try is all that is left.
		avoid = nil
	}
	blocked := 0
	for hash := range p.Targets {
		b, ok := r.breakers[hash]
		if !ok {
			continue
		}
		if b.Tripped() {
			lost = append(lost, hash)
		}
		if b.Blocked(now) {
			avoid = append(avoid, hash)
			blocked++
		}
	}
	if blocked >= p.picture.Usable() {
		// With every breaker open, trying is better than refusing everything.
		return avoid[:len(avoid)-blocked], lost
	}
	return avoid, lost
}
