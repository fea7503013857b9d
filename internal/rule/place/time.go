package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

const (
	// copyRatio is the ratio between the time to copy a cached prefix from another engine and the
	// time to read it.
	copyRatio = 0.1
	// minMakeTime is the time to make an answer if it is unknown or shorter. It keeps the load of an
	// engine relevant for requests without an estimate.
	minMakeTime = 10 * time.Millisecond
	// minFullLoad is the minimum load at which work is expected to take twice as long at engines
	// without a known number of slots.
	minFullLoad = 8 * ident.OneRequest
	// moveRatio is the ratio between the lasting time of a request at the best engine and at the one
	// that has its prefix cached, below which the request leaves the latter. Smaller differences are
	// within the accuracy of the estimates, and each move copies the prefix.
	moveRatio = 0.6
	// minMoveSaving is the minimum saving for which a request leaves the engine that has its prefix
	// cached. Callers do not notice a smaller one.
	minMoveSaving = 100 * time.Millisecond
	// lateRatio is the ratio between the time until the first byte is due and the longest expected
	// time to the first byte that is safely in time.
	lateRatio = 2
	// preferredCostRatio is the ratio between the costs at the first and the second engine of a chat's
	// hash order up to which a new chat goes to the first.
	preferredCostRatio = 1.2
	// maxQueuedReading is the maximum time for which an engine is expected to read the prompts of
	// requests placed before. Requests may end unread, which the home does not see.
	maxQueuedReading = 3 * time.Second
)

// forecast is the expected course of a request on an engine.
type forecast struct {
	// lasting is the time to read the prompt and make the answer, without what is likely to be over
	// soon: other prompts that are being read, and the present pace.
	lasting time.Duration
	// cost is the time until the end of the answer, plus the time by which reading the prompt delays
	// the requests that run beside it.
	cost time.Duration
	// late is set if the first byte may arrive after it is due.
	late bool
}

// better reports whether a forecast precedes another one.
func (f forecast) better(other forecast) bool {
	if f.late != other.late {
		return other.late
	}
	return f.cost < other.cost
}

// forecast returns the expected course of a request on an engine that has to read for the given
// time, at its usual pace, before it makes the answer.
func (h *Home) forecast(now time.Time, req Request, e *engineLoad, unread time.Duration) forecast {
	making := time.Duration(float64(max(req.Effort.Make, minMakeTime)) * (1 + h.crowding(e)))
	estimate := e.gauge.Estimate(now, h.level, unread+making)
	queued := max(e.readUntil.Sub(now), 0)
	reading := estimate.Time(queued, unread)
	return forecast{
		lasting: time.Duration(float64(unread+making) * float64(estimate.Lasting)),
		cost:    queued + estimate.Time(queued, unread+making) + time.Duration(e.load().Requests()*float64(reading)),
		late:    req.Due > 0 && lateRatio*(queued+reading) > req.Due,
	}
}

// crowding returns the ratio of an engine's load to the load at which work takes twice as long: its
// slots, or twice the mean of the shard if its slots are not known.
func (h *Home) crowding(e *engineLoad) float64 {
	full := e.Slots
	if full <= 0 {
		full = max(2*(h.granted+h.peerWork)/ident.Work(max(len(h.engines), 1)), minFullLoad)
	}
	return float64(e.load()) / float64(full)
}

// unread returns the time that an engine of usual pace needs to read a request's prompt.
func (r *Request) unread(at chatPlace, hasCached bool) time.Duration {
	switch {
	case hasCached:
		return r.Effort.Read
	case r.Last != 0 || at.last() != (engineRun{}):
		return r.Effort.Read + time.Duration(copyRatio*float64(r.Effort.Prefix))
	default:
		return r.Effort.Read + r.Effort.Prefix
	}
}

// hasCached reports whether an engine has served the request's chat, according to this home or else
// the edge router.
func (r *Request) hasCached(at chatPlace, e *engineLoad) bool {
	return r.Last == e.Hash || slices.Contains(at.at[:], e.run())
}

// timedChoice is an engine with the forecast for a request on it.
type timedChoice struct {
	ranked
	forecast
}

// precedes reports whether an engine is a better choice than another one.
func (c timedChoice) precedes(other timedChoice) bool {
	switch {
	case !other.set:
		return true
	case c.forecast != other.forecast:
		return c.forecast.better(other.forecast)
	case c.sameZone != other.sameZone:
		return c.sameZone
	default:
		return c.score > other.score
	}
}

// chooseByTime selects the engine on which the request is expected to cost the least time. An engine
// that has the chat's prefix cached is left for another one only if that saves more than reading the
// prefix takes.
func (h *Home) chooseByTime(now time.Time, req Request, limit, maxPreferredLoad float64) choice {
	h.updateLevel(now)
	at, _ := h.places.get(req.Key)
	var best, cached timedChoice
	var preferred preferredPair
	outcome := Empty
	for i := range h.engines {
		e := &h.engines[i]
		if result := h.admits(now, i, req, limit); result != Placed {
			outcome = mergeRejection(outcome, result)
			continue
		}
		hasCached := req.hasCached(at, e)
		c := timedChoice{ranked: h.rank(i, req), forecast: h.forecast(now, req, e, req.unread(at, hasCached))}
		if c.precedes(best) {
			best = c
		}
		if hasCached && c.precedes(cached) {
			cached = c
		}
		if float64(c.load) < maxPreferredLoad {
			preferred.add(c)
		}
	}
	likely := preferred.better()
	switch {
	case !best.set:
		return choice{result: outcome}
	case cached.set:
		return cached.stayOrMove(best, req.Effort.Prefix)
	case likely.set && likely.stayOrMove(best, 0).engine == likely.index:
		return choice{result: Placed, engine: likely.index}
	default:
		return choice{result: Placed, engine: best.index, rule: Shortest}
	}
}

// preferredPair holds the first two engines of a chat's hash order. A new chat goes to the first one
// unless the second is clearly better: two choices spread prompts nearly as evenly as all engines
// would, and a home that has lost its places finds the cached prefix at one of the two.
type preferredPair struct{ first, second timedChoice }

// add adds an engine.
func (p *preferredPair) add(c timedChoice) {
	switch {
	case c.preferred(p.first.ranked):
		p.first, p.second = c, p.first
	case c.preferred(p.second.ranked):
		p.second = c
	}
}

// better returns the better engine.
func (p *preferredPair) better() timedChoice {
	if !p.second.set || p.first.late == p.second.late && float64(p.first.cost) <= preferredCostRatio*float64(p.second.cost) || p.second.late {
		return p.first
	}
	return p.second
}

// stayOrMove returns the engine that has a request's prefix cached, or is likely to have it, or the best
// one if it is worth leaving the first. prefix is the time to read the prefix again.
func (c timedChoice) stayOrMove(best timedChoice, prefix time.Duration) choice {
	stay, leave := choice{result: Placed, engine: c.index, warm: true}, choice{result: Placed, engine: best.index}
	if c.late != best.late {
		if best.late {
			return stay
		}
		leave.rule = LeftLate
		return leave
	}
	saving := c.lasting - best.lasting
	if saving < max(prefix, minMoveSaving) || float64(best.lasting) >= moveRatio*float64(c.lasting) {
		return stay
	}
	leave.rule = LeftSlow
	return leave
}

// withLikelyEngine returns a request of a chat without a known place with the first engine of its hash
// order as its last engine, while this home may have lost places: the chat probably ran there.
func (h *Home) withLikelyEngine(now time.Time, req Request) Request {
	if !h.paced || req.Once || req.Last != 0 || h.bound.PreferredFactor <= 0 || !now.Before(h.recoveringUntil) {
		return req
	}
	if at, _ := h.places.get(req.Key); at.last() == (engineRun{}) {
		req.Last = h.firstPreferred(req.Key, 0, req.Lost)
	}
	return req
}

// recordReading adds the prompt of a placed request to those that its engine is expected to read.
// It must be called before the engine becomes the chat's place.
func (h *Home) recordReading(now time.Time, req Request, e *engineLoad) {
	at, _ := h.places.get(req.Key)
	unread := req.unread(at, req.hasCached(at, e))
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	delay := e.readUntil.Sub(now)
	delay += e.gauge.Estimate(now, h.level, unread).Time(delay, unread)
	e.readUntil = now.Add(min(delay, maxQueuedReading))
	e.gauge.MarkProbe(now)
}
