package route

import (
	"context"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
)

// Admit enforces the rate limit of a workspace. It uses tokens that the workspace's home has
// granted to this router, and requests more when they are used up.
func (r *Router) Admit(ctx context.Context, w policy.Workspace) error {
	const op = "route.Admit"
	if w.Rate <= 0 {
		return nil
	}
	r.mu.Lock()
	now := r.clock()
	a := r.allowances[w.Name]
	if a == nil {
		a = &quota.Allowance{}
		r.allowances[w.Name] = a
	}
	if a.Take(now) {
		r.mu.Unlock()
		return nil
	}
	if wait, denied := a.Denied(now); denied {
		r.mu.Unlock()
		return fault.New(op, Limited, RetryAfter{Wait: wait})
	}
	want := a.RequestSize(now)
	routers := r.assigned.Routers()
	to := WorkspaceHome(w.Name, routers)
	r.mu.Unlock()
	granted, retryAfter, err := r.homes.Grant(ctx, to, w.Name, want)
	return r.applyGrant(a, w, granted, retryAfter, err, len(routers))
}

func (r *Router) applyGrant(a *quota.Allowance, w policy.Workspace, granted int, retryAfter time.Duration, err error, routers int) error {
	const op = "route.Admit"
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if err != nil {
		a.GrantLocally(now, w.Rate, routers)
		if a.Take(now) {
			return nil
		}
		return fault.New(op, Limited, RetryAfter{Wait: time.Second})
	}
	a.RecordGrant(now, granted, retryAfter)
	if granted == 0 {
		return fault.New(op, Limited, RetryAfter{Wait: retryAfter})
	}
	a.Take(now)
	return nil
}

// WorkspaceHome returns the router that keeps the token bucket of a workspace.
func WorkspaceHome(w ident.Workspace, routers []ident.Router) ident.Router {
	return place.OwnerOf("workspace/"+string(w), routers)
}
