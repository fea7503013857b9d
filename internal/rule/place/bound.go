package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Bound limits how far an engine's load may exceed the mean.
type Bound struct {
	// Factor is the multiple of the mean, above one.
	Factor float64
	// Extra is work that is added to that multiple.
	Extra ident.Work
	// PreferredFactor is the multiple of the mean load below which a chat without a stored place
	// goes to the first engine of its own hash order, which also served it before if homes have
	// lost its place. Zero sends it to the least loaded engine.
	PreferredFactor float64
	// Ramp is how long a joined engine takes to reach its full share.
	Ramp time.Duration
	// DigestTTL is how long a digest is valid after it was received.
	DigestTTL time.Duration
	// MaxPlaces is the maximum number of chat places that a home stores.
	MaxPlaces int
}

// limit returns the load limit of an engine, given the work on all engines.
func (b Bound) limit(total float64, engines int) float64 {
	return b.Factor*total/float64(max(engines, 1)) + float64(b.Extra)
}

// BoundOf returns the default bound with a service's own factor.
func BoundOf(factor float64) Bound {
	b := DefaultBound
	b.Factor = factor
	return b
}

// DefaultBound is the bound of services without a factor of their own.
var DefaultBound = Bound{Factor: 1.25, Ramp: 10 * time.Second, DigestTTL: 4 * time.Second, MaxPlaces: 100_000}

// limit returns the load below which an engine may receive more work: the bound's factor times the
// pool's mean, with the new request included.
func (h *Home) limit(total ident.Work) float64 {
	return h.bound.limit((1-pendingReleaseRatio)*float64(total), h.poolEngines)
}

// pendingReleaseRatio is the estimated fraction of permits whose requests have ended but whose
// releases have not arrived yet.
const pendingReleaseRatio = 0.03

// shardLimit returns the limit based on the mean of this shard's engines, for requests that must
// be placed here: the pool's mean may be lower, or unknown. Engines that the request avoids count
// while they have work, because other edge routers use them. Otherwise the few engines that one
// router considers healthy would receive all of its requests. Avoided engines without work may have
// stopped, and would only lower the limit of the others. Engines of other versions always count.
func (h *Home) shardLimit(req Request) float64 {
	engines := 0
	for i := range h.engines {
		e := &h.engines[i]
		if e.usable() && (e.load() > 0 || !slices.Contains(req.Avoid, e.Hash)) {
			engines++
		}
	}
	return h.bound.limit((1-pendingReleaseRatio)*float64(h.Work()+req.Work), engines)
}

// requestLimit returns the limit for a request that is placed beside the given work on the pool's engines.
func (h *Home) requestLimit(req Request, total ident.Work) float64 {
	limit := h.limit(total + req.Work)
	if req.finalShard() {
		limit = max(limit, h.shardLimit(req))
	}
	return limit
}

// preferredLimit returns the load below which an engine accepts new chats that prefer it.
func (h *Home) preferredLimit(total ident.Work) float64 {
	if h.bound.PreferredFactor <= 0 {
		return 0
	}
	return h.bound.PreferredFactor*float64(total)/float64(max(h.poolEngines, 1)) + float64(h.bound.Extra)
}

// ownShare returns the fraction of the shard's work that this home admitted itself. While several
// routers act as home of a shard, each keeps the work that it admitted within its share of the
// bound. The total then stays within the bound even if the counts from the other homes are stale
// or counted twice. In a model of seven routers with different views, 1 to 2 in 100 requests
// reached engines above twice the mean without this rule, and 1 in 1,000 with it.
func (h *Home) ownShare() float64 {
	if h.peerWork <= 0 {
		return 1
	}
	// Including the new request gives a home without permits a share above zero.
	own := h.granted + ident.OneRequest
	return float64(own) / float64(own+h.peerWork)
}

// minRampShare is the fraction of the limit that an engine has when it joins.
const minRampShare = 0.1

// ramp returns the fraction of the limit that applies to an engine during its slow start, and 1
// afterwards.
func (h *Home) ramp(now time.Time, e *engineLoad) float64 {
	if e.Joined.IsZero() || h.bound.Ramp <= 0 {
		return 1
	}
	share := float64(now.Sub(e.Joined)) / float64(h.bound.Ramp)
	return min(max(share, minRampShare), 1)
}
