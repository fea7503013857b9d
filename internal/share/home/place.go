package home

import (
	"context"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/quota"
)

// queuedRequest is a permit request in the queue of its shard.
type queuedRequest struct {
	req      PermitRequest
	shard    *shard
	queuedAt time.Time
	entry    *quota.Waiter
	response chan PermitResponse
}

// Place processes a permit request. It waits for a free engine if the request allows that.
func (h *Homes) Place(ctx context.Context, req PermitRequest, released []uint64) PermitResponse {
	resp, w := h.placeOrQueue(req, released)
	if w == nil {
		return resp
	}
	return h.await(ctx, w)
}

// placeOrQueue returns a response if there is one at once, and otherwise the queued request.
func (h *Homes) placeOrQueue(req PermitRequest, released []uint64) (PermitResponse, *queuedRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.pools[req.Shard.Pool]; !known {
		// A home without the pool's engines cannot grant permits.
		return PermitResponse{Result: Empty}, nil
	}
	s := h.getOrCreate(req.Shard)
	h.release(s, req.Edge, released)
	now := h.clock()
	s.home.RecordContact(now, req.Edge)
	s.home.MergeShardLoads(now, req.ShardLoads)
	h.recordEngineReports(now, s, req)
	s.home.RecordPaces(now, req.Paces)
	if s.queue.Len() == 0 || req.Version != "" {
		d := s.home.Place(now, req.Request)
		if d.Result != place.Busy && !(d.Result == place.Full && req.waitsForBound()) {
			return s.decisionResponse(now, req, d), nil
		}
	}
	if req.Wait <= 0 {
		return s.rejection(now, req, Full), nil
	}
	w := s.newQueuedRequest(now, req)
	if req.Version != "" {
		return s.enqueueResumed(now, w)
	}
	if s.wouldExpire(w) {
		return s.rejection(now, req, Shed), nil
	}
	s.enqueue(now, w)
	h.dispatch(s)
	return PermitResponse{}, w
}

// newQueuedRequest returns a permit request with its queue entry, which is not queued yet.
func (s *shard) newQueuedRequest(now time.Time, req PermitRequest) *queuedRequest {
	w := &queuedRequest{req: req, shard: s, queuedAt: now, response: make(chan PermitResponse, 1)}
	w.entry = &quota.Waiter{
		Workspace: req.Workspace, Priority: req.Priority, Weight: req.Weight, Work: req.Work,
		Deadline: now.Add(req.Wait), Value: w,
	}
	return w
}

// wouldExpire reports whether a request would expire in the queue. Rejecting it at once leaves its
// caller time to retry.
func (s *shard) wouldExpire(w *queuedRequest) bool {
	queueDelay, known := s.rate.queueDelay(s.queue.Ahead(w.entry))
	return known && queueDelay > w.req.Wait
}

// enqueue queues a request. If that leaves no room for a request, it rejects that one.
func (s *shard) enqueue(now time.Time, w *queuedRequest) {
	if rejected := s.queue.Push(w.entry); rejected != nil {
		other := rejected.Value.(*queuedRequest)
		other.response <- s.rejection(now, other.req, Shed)
	}
}

// await waits for the response to a queued request for as long as the request can wait.
func (h *Homes) await(ctx context.Context, w *queuedRequest) PermitResponse {
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

// abandon removes a request from the queue. If callerGone is set, a permit granted in the meantime
// is released.
func (h *Homes) abandon(w *queuedRequest, callerGone bool) PermitResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := w.shard
	select {
	case resp := <-w.response:
		// The permit was granted while the wait ended.
		if callerGone && resp.Result == Placed {
			h.release(s, w.req.Edge, []uint64{w.req.Permit})
		}
		return resp
	default:
	}
	s.queue.Remove(w.entry)
	s.removeResumed(w)
	if !callerGone && s.rate.noReleaseSince(w.queuedAt) {
		// After a change of homes, counted permits that no edge router holds may take up the slots
		// of the shard for a short time.
		w.req.Over = true
		if d := s.home.Place(h.clock(), w.req.Request); d.Result == place.Placed {
			return s.response(h.clock(), w.req.Edge, d)
		}
	}
	return s.rejection(h.clock(), w.req, TimedOut)
}

// rejection returns a response without a permit. It contains a Retry-After delay only if the
// request must be placed on this shard, which is the last one that the edge router tries.
func (s *shard) rejection(now time.Time, req PermitRequest, result Result) PermitResponse {
	resp := PermitResponse{Result: result, Held: s.home.Held(req.Edge), Work: s.home.ConfirmedWork()}
	if req.MustPlace {
		queue, _ := s.rate.queueDelay(s.queue.Len())
		resp.RetryAfter = s.retryDelays.Next(now, s.rate.requestsPerSecond(), queue)
	}
	return resp
}

// decisionResponse returns the response to a request that does not have to wait.
func (s *shard) decisionResponse(now time.Time, req PermitRequest, d place.Decision) PermitResponse {
	if req.MustPlace && d.Result == place.Full {
		// Only engines that this edge router avoids have room, so its callers may be served
		// elsewhere.
		return s.rejection(now, req, Full)
	}
	return s.response(now, req.Edge, d)
}

// response returns the response for a placement decision.
func (s *shard) response(now time.Time, edge ident.Router, d place.Decision) PermitResponse {
	resp := PermitResponse{Engine: d.Engine, Warm: d.Warm, Holder: d.Holder, Held: s.home.Held(edge), Work: s.home.ConfirmedWork(), ShardLoads: s.home.NextShardLoads(now), Basis: d.Basis}
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

// dispatch places queued requests while engines have room.
func (h *Homes) dispatch(s *shard) {
	now := h.clock()
	s.dispatchResumed(now)
	for {
		next, expired := s.queue.PopSuited(now, func(w *quota.Waiter) bool { return s.home.HasWarmSlot(w.Value.(*queuedRequest).req.Request) })
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
			s.queue.Restore(next)
			return
		}
		w.response <- s.decisionResponse(now, w.req, d)
	}
}
