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
const saturatedFor = 200 * time.Millisecond

// askAround asks the shards for a permit; again is set when a home moved meanwhile.
func (r *Router) askAround(ctx context.Context, p *pool, ask Ask) (placement *Placement, again bool, err error) {
	r.mu.Lock()
	search := p.picture.NewSearch(ask.Key, r.clock().Before(p.saturated))
	cut := r.cutOff()
	r.mu.Unlock()
	if cut {
		return r.withoutHome(ctx, p, ask, nil)
	}
	passed, strange := false, false
	var holder ident.TargetHash
	for {
		step, ok := r.next(p, &search)
		if !ok {
			return nil, false, fault.New("route.Acquire", NoTarget, nil)
		}
		a, placement, unknown, err := r.askKnown(ctx, p, step, ask)
		if err != nil && !passed && ctx.Err() == nil {
			// The next in line knows what the silent home counted a second ago.
			passed = true
			a, placement, unknown, err = r.askKnown(ctx, p, step, ask)
		}
		strange = strange || unknown
		switch {
		case err != nil:
			return r.withoutHome(ctx, p, ask, err)
		case placement != nil:
			r.nameHolder(p, placement, holder)
			return placement, false, nil
		case a.Result == home.Moved:
			return nil, true, nil
		case step.Must && strange && a.Result != home.Shed:
			// Homes that know other targets than this router say nothing of those that it knows.
			return r.withoutHome(ctx, p, ask, nil)
		case step.Must:
			return nil, false, r.giveUp(ctx, p, step.Shard, a)
		}
		if holder == 0 {
			// The shard that the chat prefers is full; its engine may still be copied from.
			holder = a.Holder
		}
	}
}

// mostUnknown is how often a home is asked once more after it has offered a target that this router does not know.
const mostUnknown = 2

// askKnown asks one home for a permit at a target that this router knows; unknown is set if the home offered another.
// News of targets reaches the two up to a second apart, and either may be ahead.
func (r *Router) askKnown(ctx context.Context, p *pool, step place.Step, ask Ask) (
	a home.Answer, placement *Placement, unknown bool, err error,
) {
	for range 1 + mostUnknown {
		a, placement, err = r.ask(ctx, p, step, ask)
		if err != nil || placement != nil || a.Result != home.Placed {
			return a, placement, unknown, err
		}
		unknown = true
		ask.Avoid = append(slices.Clip(ask.Avoid), a.Engine)
	}
	return a, nil, true, nil
}

// next returns the shard that a search asks next.
func (r *Router) next(p *pool, search *place.Search) (place.Step, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return search.Next(r.clock(), p.picture)
}

// nameHolder names an engine to copy from to one where the prompt is new, if the engine's
// own home knew of none.
func (r *Router) nameHolder(p *pool, placement *Placement, holder ident.TargetHash) {
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
	cutAfter = 4
	// cutRetry is how often a router that is cut off asks a home all the same.
	cutRetry = 300 * time.Millisecond
)

// cutOff reports whether to decide alone without asking; the caller holds the lock.
func (r *Router) cutOff() bool {
	if r.failures < cutAfter {
		return false
	}
	now := r.clock()
	if now.Before(r.tryAt) {
		return true
	}
	r.tryAt = now.Add(cutRetry)
	return false
}

// giveUp turns the last home's answer into an error.
func (r *Router) giveUp(ctx context.Context, p *pool, shard ident.Shard, a home.Answer) error {
	const op = "route.Acquire"
	r.mu.Lock()
	p.saturated = r.clock().Add(saturatedFor)
	asked := r.homeOf(place.ShardID{Pool: p.Name, Shard: shard})
	r.mu.Unlock()
	later := RetryAfter{Wait: a.RetryAfter, Home: asked, Work: a.Work, Held: a.Held}
	switch {
	case a.Result == home.Empty:
		return fault.New(op, NoTarget, later)
	case a.Result == home.Shed:
		return fault.New(op, Shed, later)
	case ctx.Err() != nil:
		return fault.New(op, Gone, ctx.Err())
	default:
		return fault.New(op, TimedOut, later)
	}
}

// withoutHome decides alone after a home did not answer.
func (r *Router) withoutHome(ctx context.Context, p *pool, ask Ask, cause error) (*Placement, bool, error) {
	if ctx.Err() != nil {
		return nil, false, fault.New("route.Acquire", Gone, cause)
	}
	placement, err := r.local(p, ask)
	return placement, false, err
}

// ask asks one home for a permit. An answer that gives one without a placement is for a target that this router does
// not know.
func (r *Router) ask(ctx context.Context, p *pool, step place.Step, ask Ask) (home.Answer, *Placement, error) {
	id := place.ShardID{Pool: p.Name, Shard: step.Shard}
	now := r.clock()
	to, request, released, backoffs := r.prepare(p, id, step, ask, now)
	a, err := r.homes.Place(ctx, to, request, released)
	if err == nil && a.Result == home.Empty && r.hasEngines(p, step.Shard) {
		// A router that has just started is home already and knows no engines yet.
		err = fault.New("route.Acquire", NoTarget, nil)
	}
	blamed := err != nil && ctx.Err() == nil && fault.KindOf[home.Kind](err) != home.HeldUp
	if blamed {
		r.passOver(ctx, to)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed[id] = append(request.Failed, r.failed[id]...)
		r.tellLater(id, backoffs)
		r.unanswered(blamed, id, to, request.Permit, released)
		return a, nil, err
	}
	r.noteAnswer()
	p.noteSums(r.clock(), step.Shard, a)
	if p.picture.HasRoom(step.Shard, a.Work) {
		p.unthrottle()
	}
	if a.Result != home.Placed {
		if a.Result != home.Moved && a.Result != home.Empty {
			r.watchDrift(id, a.Held)
		}
		return a, nil, nil
	}
	r.spoken[id] = now
	return r.placed(p, id, to, request, a)
}

// prepare makes the request for a permit, with the permits that go back and the backoffs that are told on the way.
func (r *Router) prepare(p *pool, id place.ShardID, step place.Step, ask Ask, now time.Time) (
	to ident.Router, request home.Ask, released []uint64, backoffs map[ident.TargetHash]backoff,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permit++
	to = r.homeOf(id)
	if m, moved := r.follow(id, to); moved {
		// A home that was passed over is asked again: it counts from now on what the stand-in did.
		r.self.AfterFunc(0, func() { r.Move(context.Background(), []Move{m}) })
	}
	released = r.pending[id]
	delete(r.pending, id)
	failed := r.failed[id]
	delete(r.failed, id)
	backoffs, told := r.tellNow(id, now)
	r.stats.Asked++
	request = home.Ask{
		Request:   r.request(p, ask),
		Shard:     id,
		Workspace: ask.Workspace,
		Weight:    ask.Weight,
		Priority:  ask.Priority,
		Sums:      p.picture.SumsFor(now, step.Shard, nil),
		Failed:    failed,
		Backoffs:  told,
	}
	request.Permit = r.permit
	if step.Must {
		r.stats.Must++
		request.Must = true
		request.Wait = max(ask.Deadline.Sub(now), 0)
	}
	return to, request, released, backoffs
}

// request is what an ask says of the place it needs; the caller holds the lock.
func (r *Router) request(p *pool, ask Ask) place.Request {
	return place.Request{
		Edge: r.self.ID, Key: ask.Key, Work: ask.Work, Zone: r.self.Zone,
		Avoid: ask.Avoid, Lost: ask.lost, Last: p.picture.Last(ask.Key), Once: ask.Once,
	}
}

// unanswered notes that a home did not answer, and whether that is the home's fault; the
// caller holds the lock.
func (r *Router) unanswered(blamed bool, id place.ShardID, asked ident.Router, permit uint64, released []uint64) {
	if blamed {
		r.noteFailure()
	}
	// The permit may have been given; say that it is not used, to that home too if
	// another one is asked from now on.
	r.giveBack(id, append(released, permit)...)
	if asked != r.homeOf(id) {
		r.owe(id, asked)
		r.self.AfterFunc(0, func() { r.payOwed(context.Background()) })
	}
}

// noteSums keeps the shards' work that came with an answer.
func (p *pool) noteSums(now time.Time, shard ident.Shard, a home.Answer) {
	p.picture.NoteSum(now, place.Sum{Shard: shard, Work: a.Work})
	for _, sum := range a.Sums {
		p.picture.NoteSum(now, sum)
	}
}

// placed makes a placement of a permit; the caller holds the lock.
func (r *Router) placed(p *pool, id place.ShardID, to ident.Router, request home.Ask, a home.Answer) (home.Answer, *Placement, error) {
	target, ok := p.Target(a.Engine)
	if !ok {
		r.giveBack(id, request.Permit)
		return a, nil, nil
	}
	r.granted[id] = to
	placement := r.hold(p, id, place.Permit{Edge: r.self.ID, ID: request.Permit, Engine: a.Engine, Work: request.Work}, target)
	placement.Home = to
	placement.Holder = r.holder(p, a.Holder)
	placement.Warm = a.Warm
	placement.Basis = a.Basis
	p.remember(request.Request, a.Engine)
	if a.Warm {
		r.stats.Warm++
	}
	r.watchDrift(id, a.Held)
	return a, placement, nil
}

// remember notes where a chat went, unless it does not come back.
func (p *pool) remember(request place.Request, engine ident.TargetHash) {
	if !request.Once {
		p.picture.Remember(request.Key, engine)
	}
}

// hasEngines reports whether this router knows usable engines of a shard.
func (r *Router) hasEngines(p *pool, shard ident.Shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.picture.Weights()[shard] > 0
}
