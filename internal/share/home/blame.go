package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Blocked is an engine that gets no new work for a while because it failed many requests, or wants none.
type Blocked struct {
	Shard  place.ShardID
	Engine ident.TargetHash
	// Edge and Zone are of the router whose report decided it.
	Edge ident.Router
	Zone ident.Zone
	// Backoff is how long the engine wants no requests if that is why; zero otherwise.
	Backoff time.Duration
}

// OnBlocked has a function told of each engine that is blocked; it must not call the homes.
func (h *Homes) OnBlocked(notify func(Blocked)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onBlocked = notify
}

// blame takes in which engines failed an edge's requests, and which want none.
func (h *Homes) recordEngineReports(now time.Time, s *shard, req Ask) {
	for _, engine := range s.home.Blame(now, req.Edge, req.Zone, req.Failed) {
		h.reportBlocked(req, engine, 0)
	}
	for _, backoff := range s.home.Backoffs(now, req.Edge, req.Zone, req.Backoffs) {
		h.reportBlocked(req, backoff.Engine, backoff.Left)
	}
}

// tellBlocked tells of an engine that is blocked from an edge's word on.
func (h *Homes) reportBlocked(req Ask, engine ident.TargetHash, backoff time.Duration) {
	if h.onBlocked != nil {
		h.onBlocked(Blocked{Shard: req.Shard, Engine: engine, Edge: req.Edge, Zone: req.Zone, Backoff: backoff})
	}
}
