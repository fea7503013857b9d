package home

import (
	"context"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/quota"
)

// waiting is a request that waits in its shard's queue.
type waiting struct {
	ask    Ask
	shard  *shard
	since  time.Time
	entry  *quota.Waiter
	answer chan Answer
}

// Place answers a request for a permit, waiting for a free engine if the ask allows it.
func (h *Homes) Place(ctx context.Context, ask Ask, released []uint64) Answer {
	a, w := h.placeOrQueue(ask, released)
	if w == nil {
		return a
	}
	return h.await(ctx, w)
}

// placeOrQueue answers at once, or returns the request as it waits in its shard's queue.
func (h *Homes) placeOrQueue(ask Ask, released []uint64) (Answer, *waiting) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.pools[ask.Shard.Pool]; !known {
		// A home without the pool's engines has nothing to give.
		return Answer{Result: Empty}, nil
	}
	s := h.at(ask.Shard)
	h.release(s, ask.Edge, released)
	now := h.clock()
	s.home.Heard(now, ask.Edge)
	s.home.MergeSums(now, ask.Sums)
	h.blame(now, s, ask)
	if s.queue.Len() == 0 {
		d := s.home.Place(now, ask.Request)
		if d.Result != place.Busy {
			return s.decided(now, ask, d), nil
		}
	}
	if ask.Wait <= 0 {
		return s.refusal(now, ask, Full), nil
	}
	w := s.newWaiting(now, ask)
	if s.hopeless(w) {
		return s.refusal(now, ask, Shed), nil
	}
	s.enqueue(now, w)
	h.dispatch(s)
	return Answer{}, w
}

// newWaiting makes a request one that can wait in the shard's queue.
func (s *shard) newWaiting(now time.Time, ask Ask) *waiting {
	w := &waiting{ask: ask, shard: s, since: now, answer: make(chan Answer, 1)}
	w.entry = &quota.Waiter{
		Workspace: ask.Workspace, Priority: ask.Priority, Weight: ask.Weight, Work: ask.Work,
		Deadline: now.Add(ask.Wait), Value: w,
	}
	return w
}

// hopeless reports whether a request would wait in vain. A refusal at once leaves its
// caller time for another try.
func (s *shard) hopeless(w *waiting) bool {
	wait, known := s.rate.wait(s.queue.Ahead(w.entry))
	return known && wait > w.ask.Wait
}

// enqueue has a request wait, and refuses another one for which no room is left.
func (s *shard) enqueue(now time.Time, w *waiting) {
	if shed := s.queue.Push(w.entry); shed != nil {
		other := shed.Value.(*waiting)
		other.answer <- s.refusal(now, other.ask, Shed)
	}
}

// await waits for a queued request's answer as long as the request can wait.
func (h *Homes) await(ctx context.Context, w *waiting) Answer {
	timer := time.NewTimer(w.ask.Wait)
	defer timer.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-timer.C:
		return h.giveUp(w, false)
	case <-ctx.Done():
		return h.giveUp(w, true)
	}
}

// giveUp ends the waiting of a request; gone says that nobody is there to use a permit.
func (h *Homes) giveUp(w *waiting, gone bool) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := w.shard
	select {
	case a := <-w.answer:
		// The permit was given at the last moment.
		if gone && a.Result == Placed {
			h.release(s, w.ask.Edge, []uint64{w.ask.Permit})
		}
		return a
	default:
	}
	s.queue.Remove(w.entry)
	if !gone && s.rate.stoodStill(w.since) {
		// Permits that nobody holds may fill the shard for a while after homes have moved.
		w.ask.Over = true
		if d := s.home.Place(h.clock(), w.ask.Request); d.Result == place.Placed {
			return s.answer(h.clock(), w.ask.Edge, d)
		}
	}
	return s.refusal(h.clock(), w.ask, TimedOut)
}

// refusal is an answer without a permit. Only the last shard that a request asks, on which
// it must be placed, has its caller come back.
func (s *shard) refusal(now time.Time, ask Ask, result Result) Answer {
	a := Answer{Result: result, Held: s.home.Held(ask.Edge), Work: s.home.SureWork()}
	if ask.Must {
		queue, _ := s.rate.wait(s.queue.Len())
		a.RetryAfter = s.returns.Tell(now, s.rate.perSecond(), queue)
	}
	return a
}

// decided is the answer to a request that need not wait.
func (s *shard) decided(now time.Time, ask Ask, d place.Decision) Answer {
	if ask.Must && d.Result == place.Full {
		// Only engines that this edge avoids have room: its callers may do better elsewhere.
		return s.refusal(now, ask, Full)
	}
	return s.answer(now, ask.Edge, d)
}

// answer turns a placement's decision into what the edge is told.
func (s *shard) answer(now time.Time, edge ident.Router, d place.Decision) Answer {
	a := Answer{Engine: d.Engine, Warm: d.Warm, Holder: d.Holder, Held: s.home.Held(edge), Work: s.home.SureWork(), Sums: s.home.NextSums(now), Basis: d.Basis}
	switch d.Result {
	case place.Placed:
		a.Result = Placed
	case place.Empty:
		a.Result = Empty
	default:
		a.Result = Full
	}
	return a
}

// dispatch gives engines to waiting requests as long as some have room.
func (h *Homes) dispatch(s *shard) {
	now := h.clock()
	for {
		next, late := s.queue.PopSuited(now, func(w *quota.Waiter) bool { return s.home.Kept(w.Value.(*waiting).ask.Request) })
		for _, l := range late {
			other := l.Value.(*waiting)
			other.answer <- s.refusal(now, other.ask, TimedOut)
		}
		if next == nil {
			return
		}
		w := next.Value.(*waiting)
		d := s.home.Place(now, w.ask.Request)
		if d.Result != place.Placed && d.Result != place.Full {
			s.queue.Return(next)
			return
		}
		w.answer <- s.decided(now, w.ask, d)
	}
}
