package home

import (
	"context"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/quota"
)

// waiting is a request that waits in its shard's queue.
type queuedRequest struct {
	req      Ask
	shard    *shard
	queuedAt time.Time
	entry    *quota.Waiter
	response chan Answer
}

// Place answers a request for a permit, waiting for a free engine if the ask allows it.
func (h *Homes) Place(ctx context.Context, req Ask, released []uint64) Answer {
	resp, w := h.placeOrQueue(req, released)
	if w == nil {
		return resp
	}
	return h.await(ctx, w)
}

// placeOrQueue answers at once, or returns the request as it waits in its shard's queue.
func (h *Homes) placeOrQueue(req Ask, released []uint64) (Answer, *queuedRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.pools[req.Shard.Pool]; !known {
		// A home without the pool's engines has nothing to give.
		return Answer{Result: Empty}, nil
	}
	s := h.getOrCreate(req.Shard)
	h.release(s, req.Edge, released)
	now := h.clock()
	s.home.Heard(now, req.Edge)
	s.home.MergeSums(now, req.Sums)
	h.recordEngineReports(now, s, req)
	if s.queue.Len() == 0 {
		d := s.home.Place(now, req.Request)
		if d.Result != place.Busy {
			return s.decisionResponse(now, req, d), nil
		}
	}
	if req.Wait <= 0 {
		return s.rejection(now, req, Full), nil
	}
	w := s.newQueuedRequest(now, req)
	if s.wouldExpire(w) {
		return s.rejection(now, req, Shed), nil
	}
	s.enqueue(now, w)
	h.dispatch(s)
	return Answer{}, w
}

// newWaiting makes a request one that can wait in the shard's queue.
func (s *shard) newQueuedRequest(now time.Time, req Ask) *queuedRequest {
	w := &queuedRequest{req: req, shard: s, queuedAt: now, response: make(chan Answer, 1)}
	w.entry = &quota.Waiter{
		Workspace: req.Workspace, Priority: req.Priority, Weight: req.Weight, Work: req.Work,
		Deadline: now.Add(req.Wait), Value: w,
	}
	return w
}

// hopeless reports whether a request would wait in vain. A refusal at once leaves its
// caller time for another try.
func (s *shard) wouldExpire(w *queuedRequest) bool {
	queueDelay, known := s.rate.queueDelay(s.queue.Ahead(w.entry))
	return known && queueDelay > w.req.Wait
}

// enqueue has a request wait, and refuses another one for which no room is left.
func (s *shard) enqueue(now time.Time, w *queuedRequest) {
	if rejected := s.queue.Push(w.entry); rejected != nil {
		other := rejected.Value.(*queuedRequest)
		other.response <- s.rejection(now, other.req, Shed)
	}
}

// await waits for a queued request's answer as long as the request can wait.
func (h *Homes) await(ctx context.Context, w *queuedRequest) Answer {
	timer := time.NewTimer(w.req.Wait)
	defer timer.Stop()
	select {
	case resp := <-w.response:
		return resp
	case <-timer.C:
		return h.abandon(w, false)
	case <-ctx.Done():
		return h.abandon(w, true)
	}
}

// giveUp ends the waiting of a request; gone says that nobody is there to use a permit.
func (h *Homes) abandon(w *queuedRequest, callerGone bool) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := w.shard
	select {
	case resp := <-w.response:
		// The permit was given at the last moment.
		if callerGone && resp.Result == Placed {
			h.release(s, w.req.Edge, []uint64{w.req.Permit})
		}
		return resp
	default:
	}
	s.queue.Remove(w.entry)
	if !callerGone && s.rate.noReleaseSince(w.queuedAt) {
		// Permits that nobody holds may fill the shard for a while after homes have moved.
		w.req.Over = true
		if d := s.home.Place(h.clock(), w.req.Request); d.Result == place.Placed {
			return s.response(h.clock(), w.req.Edge, d)
		}
	}
	return s.rejection(h.clock(), w.req, TimedOut)
}

// refusal is an answer without a permit. Only the last shard that a request asks, on which
// it must be placed, has its caller come back.
func (s *shard) rejection(now time.Time, req Ask, result Result) Answer {
	resp := Answer{Result: result, Held: s.home.Held(req.Edge), Work: s.home.SureWork()}
	if req.Must {
		queue, _ := s.rate.queueDelay(s.queue.Len())
		resp.RetryAfter = s.retryDelays.Tell(now, s.rate.requestsPerSecond(), queue)
	}
	return resp
}

// decided is the answer to a request that need not wait.
func (s *shard) decisionResponse(now time.Time, req Ask, d place.Decision) Answer {
	if req.Must && d.Result == place.Full {
		// Only engines that this edge avoids have room: its callers may do better elsewhere.
		return s.rejection(now, req, Full)
	}
	return s.response(now, req.Edge, d)
}

// answer turns a placement's decision into what the edge is told.
func (s *shard) response(now time.Time, edge ident.Router, d place.Decision) Answer {
	resp := Answer{Engine: d.Engine, Warm: d.Warm, Holder: d.Holder, Held: s.home.Held(edge), Work: s.home.SureWork(), Sums: s.home.NextSums(now), Basis: d.Basis}
	switch d.Result {
	case place.Placed:
		resp.Result = Placed
	case place.Empty:
		resp.Result = Empty
	default:
		resp.Result = Full
	}
	return resp
}

// dispatch gives engines to waiting requests as long as some have room.
func (h *Homes) dispatch(s *shard) {
	now := h.clock()
	for {
		next, expired := s.queue.PopSuited(now, func(w *quota.Waiter) bool { return s.home.Kept(w.Value.(*queuedRequest).req.Request) })
		for _, e := range expired {
			other := e.Value.(*queuedRequest)
			other.response <- s.rejection(now, other.req, TimedOut)
		}
		if next == nil {
			return
		}
		w := next.Value.(*queuedRequest)
		d := s.home.Place(now, w.req.Request)
		if d.Result != place.Placed && d.Result != place.Full {
			s.queue.Return(next)
			return
		}
		w.response <- s.decisionResponse(now, w.req, d)
	}
}
