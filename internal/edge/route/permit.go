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

// saturatedFor is how long a pool without free engines is not asked around.
const saturationTTL = 200 * time.Millisecond

// askAround asks the shards for a permit; again is set when a home moved meanwhile.
func (r *Router) searchShards(ctx context.Context, p *pool, request Ask) (placement *Placement, retry bool, err error) {
	r.mu.Lock()
	search := p.state.NewSearch(request.Key, r.clock().Before(p.saturatedUntil))
	skipHomes := r.isolated()
	r.mu.Unlock()
	if skipHomes {
		return r.placeWithoutHome(ctx, p, request, nil)
	}
	failedOver, sawUnknown := false, false
	var holder ident.TargetHash
	for {
		step, ok := r.nextShard(p, &search)
		if !ok {
			return nil, false, fault.New("route.Acquire", NoTarget, nil)
		}
		resp, placement, unknown, err := r.requestKnownTarget(ctx, p, step, request)
		if err != nil && !failedOver && ctx.Err() == nil {
			// The next in line knows what the silent home counted a second ago.
			failedOver = true
			resp, placement, unknown, err = r.requestKnownTarget(ctx, p, step, request)
		}
		sawUnknown = sawUnknown || unknown
		switch {
		case err != nil:
			return r.placeWithoutHome(ctx, p, request, err)
		case placement != nil:
			r.setHolder(p, placement, holder)
			return placement, false, nil
		case resp.Result == home.Moved:
			return nil, true, nil
		case step.Must && sawUnknown && resp.Result != home.Shed:
			// Homes that know other targets than this router say nothing of those that it knows.
			return r.placeWithoutHome(ctx, p, request, nil)
		case step.Must:
			return nil, false, r.rejectionError(ctx, p, step.Shard, resp)
		}
		if holder == 0 {
			// The shard that the chat prefers is full; its engine may still be copied from.
			holder = resp.Holder
		}
	}
}

// mostUnknown is how often a home is asked once more after it has offered a target that this router does not know.
const maxUnknownRetries = 2

// askKnown asks one home for a permit at a target that this router knows; unknown is set if the home offered another.
// News of targets reaches the two up to a second apart, and either may be ahead.
func (r *Router) requestKnownTarget(ctx context.Context, p *pool, step place.Step, request Ask) (
	resp home.Answer, placement *Placement, unknown bool, err error,
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

// next returns the shard that a search asks next.
func (r *Router) nextShard(p *pool, search *place.Search) (place.Step, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return search.Next(r.clock(), p.state)
}

// nameHolder names an engine to copy from to one where the prompt is new, if the engine's
// own home knew of none.
func (r *Router) setHolder(p *pool, placement *Placement, holder ident.TargetHash) {
	if placement.Holder != nil || placement.Warm {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	placement.Holder = r.holder(p, holder)
}

const (
	// cutAfter is how many calls in a row may fail, whatever home was asked, before this
	// router counts as cut off from the others: two homes and their next in line.
	isolationThreshold = 4
	// cutRetry is how often a router that is cut off asks a home all the same.
	isolatedRetryInterval = 300 * time.Millisecond
)

// cutOff reports whether to decide alone without asking; the caller holds the lock.
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

// giveUp turns the last home's answer into an error.
func (r *Router) rejectionError(ctx context.Context, p *pool, shard ident.Shard, resp home.Answer) error {
	const op = "route.Acquire"
	r.mu.Lock()
	p.saturatedUntil = r.clock().Add(saturationTTL)
	to := r.homeOf(place.ShardID{Pool: p.Name, Shard: shard})
	r.mu.Unlock()
	retryAfter := RetryAfter{Wait: resp.RetryAfter, Home: to, Work: resp.Work, Held: resp.Held}
	switch {
	case resp.Result == home.Empty:
		return fault.New(op, NoTarget, retryAfter)
	case resp.Result == home.Shed:
		return fault.New(op, Shed, retryAfter)
	case ctx.Err() != nil:
		return fault.New(op, Gone, ctx.Err())
	default:
		return fault.New(op, TimedOut, retryAfter)
	}
}

// withoutHome decides alone after a home did not answer.
func (r *Router) placeWithoutHome(ctx context.Context, p *pool, request Ask, cause error) (*Placement, bool, error) {
	if ctx.Err() != nil {
		return nil, false, fault.New("route.Acquire", Gone, cause)
	}
	placement, err := r.placeLocally(p, request)
	return placement, false, err
}

// ask asks one home for a permit. An answer that gives one without a placement is for a target that this router does
// not know.
func (r *Router) request(ctx context.Context, p *pool, step place.Step, request Ask) (home.Answer, *Placement, error) {
	id := place.ShardID{Pool: p.Name, Shard: step.Shard}
	now := r.clock()
	to, placeRequest, released, backoffs := r.preparePermitRequest(p, id, step, request, now)
	resp, err := r.homes.Place(ctx, to, placeRequest, released)
	if err == nil && resp.Result == home.Empty && r.hasEngines(p, step.Shard) {
		// A router that has just started is home already and knows no engines yet.
		err = fault.New("route.Acquire", NoTarget, nil)
	}
	homeFault := err != nil && ctx.Err() == nil && fault.KindOf[home.Kind](err) != home.HeldUp
	if homeFault {
		r.skipHome(ctx, to)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.unsentFailures[id] = append(placeRequest.Failed, r.unsentFailures[id]...)
		r.queueBackoffs(id, backoffs)
		r.recordNoResponse(homeFault, id, to, placeRequest.Permit, released)
		return resp, nil, err
	}
	r.recordHomeResponse()
	p.updateShardLoads(r.clock(), step.Shard, resp)
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

// prepare makes the request for a permit, with the permits that go back and the backoffs that are told on the way.
func (r *Router) preparePermitRequest(p *pool, id place.ShardID, step place.Step, request Ask, now time.Time) (
	to ident.Router, placeRequest home.Ask, released []uint64, backoffs map[ident.TargetHash]backoff,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permit++
	to = r.homeOf(id)
	if m, moved := r.updateCountingHome(id, to); moved {
		// A home that was passed over is asked again: it counts from now on what the stand-in did.
		r.self.AfterFunc(0, func() { r.Move(context.Background(), []Move{m}) })
	}
	released = r.pendingReleases[id]
	delete(r.pendingReleases, id)
	unsentFailures := r.unsentFailures[id]
	delete(r.unsentFailures, id)
	backoffs, included := r.takeBackoffs(id, now)
	r.stats.Asked++
	placeRequest = home.Ask{
		Request:   r.placeRequest(p, request),
		Shard:     id,
		Workspace: request.Workspace,
		Weight:    request.Weight,
		Priority:  request.Priority,
		Sums:      p.state.SumsFor(now, step.Shard, nil),
		Failed:    unsentFailures,
		Backoffs:  included,
	}
	placeRequest.Permit = r.permit
	if step.Must {
		r.stats.Must++
		placeRequest.Must = true
		placeRequest.Wait = max(request.Deadline.Sub(now), 0)
	}
	return to, placeRequest, released, backoffs
}

// request is what an ask says of the place it needs; the caller holds the lock.
func (r *Router) placeRequest(p *pool, request Ask) place.Request {
	return place.Request{
		Edge: r.self.ID, Key: request.Key, Work: request.Work, Zone: r.self.Zone,
		Avoid: request.Avoid, Lost: request.unreachable, Last: p.state.Last(request.Key), Once: request.Once,
	}
}

// unanswered notes that a home did not answer, and whether that is the home's fault; the
// caller holds the lock.
func (r *Router) recordNoResponse(homeFault bool, id place.ShardID, to ident.Router, permit uint64, released []uint64) {
	if homeFault {
		r.recordHomeFailure()
	}
	// The permit may have been given; say that it is not used, to that home too if
	// another one is asked from now on.
	r.queueRelease(id, append(released, permit)...)
	if to != r.homeOf(id) {
		r.queueWithdrawal(id, to)
		r.self.AfterFunc(0, func() { r.retryWithdrawals(context.Background()) })
	}
}

// noteSums keeps the shards' work that came with an answer.
func (p *pool) updateShardLoads(now time.Time, shard ident.Shard, resp home.Answer) {
	p.state.NoteSum(now, place.Sum{Shard: shard, Work: resp.Work})
	for _, sum := range resp.Sums {
		p.state.NoteSum(now, sum)
	}
}

// placed makes a placement of a permit; the caller holds the lock.
func (r *Router) acceptPermit(p *pool, id place.ShardID, to ident.Router, placeRequest home.Ask, resp home.Answer) (home.Answer, *Placement, error) {
	target, ok := p.Target(resp.Engine)
	if !ok {
		r.queueRelease(id, placeRequest.Permit)
		return resp, nil, nil
	}
	r.countingHome[id] = to
	placement := r.holdPermit(p, id, place.Permit{Edge: r.self.ID, ID: placeRequest.Permit, Engine: resp.Engine, Work: placeRequest.Work}, target)
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

// remember notes where a chat went, unless it does not come back.
func (p *pool) recordPlacement(request place.Request, engine ident.TargetHash) {
	if !request.Once {
		p.state.Remember(request.Key, engine)
	}
}

// hasEngines reports whether this router knows usable engines of a shard.
func (r *Router) hasEngines(p *pool, shard ident.Shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.state.Weights()[shard] > 0
}
