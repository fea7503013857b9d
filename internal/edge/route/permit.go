package route

import (
	"context"
	"slices"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/home"
)

// saturationTTL is how long a pool without free engines is treated as saturated: requests do not
// search all of its shards in that time.
const saturationTTL = 200 * time.Millisecond

// searchShards requests a permit from the homes of the pool's shards, in the order of the search.
// It returns retry as true if a shard's home changed in the meantime.
func (r *Router) searchShards(ctx context.Context, p *pool, request TargetRequest) (placement *Placement, retry bool, err error) {
	r.mu.Lock()
	search := p.state.NewSearch(request.Key, request.Version, r.clock().Before(p.saturatedUntil))
	skipHomes := r.isolated()
	r.mu.Unlock()
	if skipHomes {
		return r.placeWithoutHome(ctx, p, request, nil)
	}
	failedOver, hadUnknown := false, false
	var holder ident.TargetHash
	for {
		step, ok := r.nextShard(p, &search)
		if !ok {
			return nil, false, fault.New("route.Acquire", NoTarget, nil)
		}
		resp, placement, unknown, err := r.requestKnownTarget(ctx, p, step, request)
		if err != nil && !failedOver && ctx.Err() == nil {
			// The standby has the counts that the home had a second ago.
			failedOver = true
			resp, placement, unknown, err = r.requestKnownTarget(ctx, p, step, request)
		}
		hadUnknown = hadUnknown || unknown
		switch {
		case err != nil:
			return r.placeWithoutHome(ctx, p, request, err)
		case placement != nil:
			r.setHolder(p, placement, holder)
			return placement, false, nil
		case resp.Result == home.Moved:
			return nil, true, nil
		case step.MustPlace && hadUnknown && resp.Result != home.Shed:
			// A home that has other targets than this router cannot report whether this router's
			// targets are free.
			return r.placeWithoutHome(ctx, p, request, nil)
		case step.MustPlace:
			return nil, false, r.rejectionError(ctx, p, request, step.Shard, resp)
		}
		if holder == 0 {
			// The preferred shard of the chat is full, but the cached prefix can still be copied
			// from its engine.
			holder = resp.Holder
		}
	}
}

// maxUnknownRetries is how often a permit request is repeated after the home granted a permit on a
// target that this router does not have.
const maxUnknownRetries = 2

// requestKnownTarget requests a permit from one home, on a target that is in this router's pool. It
// returns unknown as true if the home offered a target that is not. Changes of targets reach the
// two routers up to a second apart, and either may be ahead.
func (r *Router) requestKnownTarget(ctx context.Context, p *pool, step place.Step, request TargetRequest) (
	resp home.PermitResponse, placement *Placement, unknown bool, err error,
) {
	for range 1 + maxUnknownRetries {
		resp, placement, err = r.request(ctx, p, step, request)
		if err != nil || placement != nil || resp.Result != home.Placed {
			return resp, placement, unknown, err
		}
		unknown = true
		request.Avoid = append(slices.Clip(request.Avoid), resp.Engine)
	}
	return resp, nil, true, nil
}

// nextShard returns the next step of a search.
func (r *Router) nextShard(p *pool, search *place.Search) (place.Step, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return search.Next(r.clock(), p.state)
}

// setHolder sets the cache holder to copy the prefix from, for a placement on an engine that has
// not cached it and whose home reported no cache holder.
func (r *Router) setHolder(p *pool, placement *Placement, holder ident.TargetHash) {
	if placement.Holder != nil || placement.Warm {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	placement.Holder = r.holder(p, holder)
}

const (
	// isolationThreshold is the number of consecutive failed calls, to whichever homes, after which
	// this router is isolated from its peers: two homes and their standbys.
	isolationThreshold = 4
	// isolatedRetryInterval is the interval at which an isolated router still sends a permit
	// request to a home.
	isolatedRetryInterval = 300 * time.Millisecond
)

// isolated reports whether to place the request locally without a permit request. The caller holds
// the lock.
func (r *Router) isolated() bool {
	if r.homeFailures < isolationThreshold {
		return false
	}
	now := r.clock()
	if now.Before(r.isolatedUntil) {
		return true
	}
	r.isolatedUntil = now.Add(isolatedRetryInterval)
	return false
}

// rejectionError returns the error for the response of the last home. If only targets of one version were
// wanted, their rejection does not show that the pool is saturated.
func (r *Router) rejectionError(ctx context.Context, p *pool, request TargetRequest, shard ident.Shard, resp home.PermitResponse) error {
	const op = "route.Acquire"
	r.mu.Lock()
	if request.Version == "" && !request.runs() {
		p.saturatedUntil = r.clock().Add(saturationTTL)
	}
	to := r.homeOf(place.ShardID{Pool: p.Name, Shard: shard})
	r.mu.Unlock()
	retryAfter := RetryAfter{Wait: resp.RetryAfter, Home: to, Work: resp.Work, Held: resp.Held}
	switch {
	case resp.Result == home.Empty:
		return fault.New(op, NoTarget, retryAfter)
	case resp.Result == home.Shed:
		return fault.New(op, Shed, retryAfter)
	case ctx.Err() != nil:
		return fault.New(op, CallerGone, ctx.Err())
	default:
		return fault.New(op, TimedOut, retryAfter)
	}
}

// placeWithoutHome places a request locally after a home did not respond.
func (r *Router) placeWithoutHome(ctx context.Context, p *pool, request TargetRequest, cause error) (*Placement, bool, error) {
	if ctx.Err() != nil {
		return nil, false, fault.New("route.Acquire", CallerGone, cause)
	}
	placement, err := r.placeLocally(p, request)
	return placement, false, err
}

// request sends a permit request to one home. A response with result Placed but without a placement
// means that the permit is for a target that this router does not have.
func (r *Router) request(ctx context.Context, p *pool, step place.Step, request TargetRequest) (home.PermitResponse, *Placement, error) {
	id := place.ShardID{Pool: p.Name, Shard: step.Shard}
	now := r.clock()
	to, placeRequest, released, backoffs := r.preparePermitRequest(p, id, step, request, now)
	resp, err := r.homes.Place(ctx, to, placeRequest, released)
	if err == nil && resp.Result == home.Empty && r.hasEngines(p, step.Shard) {
		// A router that has just started may be home of a shard before it has the shard's engines.
		err = fault.New("route.Acquire", NoTarget, nil)
	}
	homeFault := err != nil && ctx.Err() == nil && fault.KindOf[home.Kind](err) != home.LocalDelay
	if homeFault {
		r.skipHome(ctx, to)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inTransit[id], placeRequest.Permit)
	if err != nil {
		r.unsentFailures[id] = append(placeRequest.Failed, r.unsentFailures[id]...)
		r.silences.putBack(id, placeRequest.Silent, placeRequest.Answered)
		r.queueBackoffs(id, backoffs)
		r.recordNoResponse(homeFault, id, to, placeRequest.Permit, released)
		return resp, nil, err
	}
	r.recordHomeResponse()
	p.updateShardLoads(r.clock(), step.Shard, resp)
	r.countWait(p, step, request.Work, r.clock().Sub(now))
	if p.state.HasRoom(step.Shard, resp.Work) {
		p.resetThrottles()
	}
	if resp.Result != home.Placed {
		if resp.Result != home.Moved && resp.Result != home.Empty {
			r.checkDrift(id, resp.Held)
		}
		return resp, nil, nil
	}
	r.lastContact[id] = now
	return r.acceptPermit(p, id, to, placeRequest, resp)
}

// minCountedWait is the time from which a permit request counts as one that waited: several round
// trips to a home.
const minCountedWait = 20 * time.Millisecond

// countWait counts a permit request that has waited for a target. The caller holds the lock.
func (r *Router) countWait(p *pool, step place.Step, work ident.Work, waited time.Duration) {
	if !step.MustPlace || waited < minCountedWait {
		return
	}
	r.stats.Waited++
	if p.state.HasRoomElsewhere(r.clock(), step.Shard, work) {
		r.stats.WaitedBesideRoom++
	}
}

// preparePermitRequest returns the permit request with the released permits and the backoffs that
// are sent with it.
func (r *Router) preparePermitRequest(p *pool, id place.ShardID, step place.Step, request TargetRequest, now time.Time) (
	to ident.Router, placeRequest home.PermitRequest, released []uint64, backoffs map[ident.TargetHash]backoff,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permit++
	if r.inTransit[id] == nil {
		r.inTransit[id] = map[uint64]bool{}
	}
	r.inTransit[id][r.permit] = true
	to = r.homeOf(id)
	if m, moved := r.updateCountingHome(id, to); moved {
		// A home that was skipped receives requests again. It needs the permits that the standby
		// has counted.
		r.self.AfterFunc(0, func() { r.Move(context.Background(), []Move{m}) })
	}
	released = r.pendingReleases[id]
	delete(r.pendingReleases, id)
	unsentFailures := r.unsentFailures[id]
	delete(r.unsentFailures, id)
	silent, answered := r.silences.take(id)
	backoffs, included := r.takeBackoffs(id, now)
	paces := r.unsentPaces[id].Take(now)
	r.stats.PermitRequests++
	placeRequest = home.PermitRequest{
		Request:    r.placeRequest(p, request),
		Shard:      id,
		Workspace:  request.Workspace,
		Weight:     request.Weight,
		Priority:   request.Priority,
		ShardLoads: p.state.ShardLoadsFor(now, step.Shard, nil),
		Failed:     unsentFailures,
		Silent:     silent,
		Answered:   answered,
		Backoffs:   included,
		Paces:      paces,
	}
	placeRequest.Permit = r.permit
	if step.MustPlace {
		r.stats.WaitingRequests++
		placeRequest.MustPlace = true
		placeRequest.Wait = request.waitFrom(now)
	}
	return to, placeRequest, released, backoffs
}

// placeRequest returns the placement constraints of a request. What the choice by time needs is left
// out as long as no target has reported its pace. The caller holds the lock.
func (r *Router) placeRequest(p *pool, request TargetRequest) place.Request {
	out := place.Request{
		Edge: r.self.ID, Key: request.Key, Work: request.Work, Zone: r.self.Zone,
		Avoid: request.Avoid, Version: request.Version, Lost: request.unreachable, Last: p.state.Last(request.Key), Once: request.Once,
	}
	if r.paced {
		out.Parent, out.Effort, out.Due = request.Parent, request.Effort, r.timeLeft(request.Due)
	}
	return out
}

// waitFrom returns how long the request may wait.
func (t TargetRequest) waitFrom(now time.Time) time.Duration {
	if t.runs() {
		return 0
	}
	return max(t.Deadline.Sub(now), 0)
}

// minDue is the smallest time left that is sent with a permit request, where zero means that the
// request has no objective.
const minDue = time.Millisecond

// timeLeft returns the time until the first byte of an answer is due, or zero without an objective.
func (r *Router) timeLeft(due time.Time) time.Duration {
	if due.IsZero() {
		return 0
	}
	return max(due.Sub(r.clock()), minDue)
}

// recordNoResponse records that a home did not respond, and counts it as a failure of the home if
// homeFault is set. The caller holds the lock.
func (r *Router) recordNoResponse(homeFault bool, id place.ShardID, to ident.Router, permit uint64, released []uint64) {
	if homeFault {
		r.recordHomeFailure()
	}
	// The home may have granted the permit. Release it, also at that home if the shard has another
	// home now.
	r.queueRelease(id, append(released, permit)...)
	if to != r.homeOf(id) {
		r.queueWithdrawal(id, to)
		r.self.AfterFunc(0, func() { r.retryWithdrawals(context.Background()) })
	}
}

// updateShardLoads records the shard loads of a permit response.
func (p *pool) updateShardLoads(now time.Time, shard ident.Shard, resp home.PermitResponse) {
	p.state.UpdateShardLoad(now, place.ShardLoad{Shard: shard, Work: resp.Work})
	for _, load := range resp.ShardLoads {
		p.state.UpdateShardLoad(now, load)
	}
}

// acceptPermit returns the placement for a granted permit. The caller holds the lock.
func (r *Router) acceptPermit(p *pool, id place.ShardID, to ident.Router,
	placeRequest home.PermitRequest, resp home.PermitResponse) (home.PermitResponse, *Placement, error) {
	target, ok := p.Target(resp.Engine)
	if !ok {
		r.queueRelease(id, placeRequest.Permit)
		return resp, nil, nil
	}
	r.countingHome[id] = to
	placement := r.holdPermit(p, id, place.Permit{Edge: r.self.ID, ID: placeRequest.Permit,
		Engine: resp.Engine, Work: placeRequest.Work}, target)
	placement.Home = to
	placement.Holder = r.holder(p, resp.Holder)
	placement.Warm = resp.Warm
	placement.Basis = resp.Basis
	p.recordPlacement(placeRequest.Request, resp.Engine)
	if resp.Warm {
		r.stats.Warm++
	}
	r.checkDrift(id, resp.Held)
	return resp, placement, nil
}

// recordPlacement records the engine of a chat, unless the chat consists of one request.
func (p *pool) recordPlacement(request place.Request, engine ident.TargetHash) {
	if !request.Once {
		p.state.SetLast(request.Key, engine)
	}
}

// hasEngines reports whether this router has usable engines of a shard.
func (r *Router) hasEngines(p *pool, shard ident.Shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.state.Weights()[shard] > 0
}
