package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Blocked is an engine that gets no new work for a limited time, because it failed many requests or
// requested a backoff.
type Blocked struct {
	Shard  place.ShardID
	Engine ident.TargetHash
	// Edge and Zone are those of the router whose report caused the block.
	Edge ident.Router
	Zone ident.Zone
	// Backoff is the remaining backoff that the engine requested, zero if the engine is blocked for
	// failures.
	Backoff time.Duration
}

// SetOnBlocked sets the function that is called for each engine that is blocked. The function is
// called with the lock held and must not call methods of Homes.
func (h *Homes) SetOnBlocked(notify func(Blocked)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onBlocked = notify
}

// recordEngineReports records the failures and backoffs of engines that an edge router reports with
// a permit request.
func (h *Homes) recordEngineReports(now time.Time, s *shard, req PermitRequest) {
	s.home.RecordAnswers(req.Zone, req.Answered)
	for _, engine := range s.home.RecordFailures(now, req.Edge, req.Zone, req.Failed, req.Silent) {
		h.reportBlocked(req, engine, 0)
	}
	for _, backoff := range s.home.Backoffs(now, req.Edge, req.Zone, req.Backoffs) {
		h.reportBlocked(req, backoff.Engine, backoff.Left)
	}
}

// reportBlocked calls the SetOnBlocked function for an engine that was blocked because of a report
// of an edge router.
func (h *Homes) reportBlocked(req PermitRequest, engine ident.TargetHash, backoff time.Duration) {
	if h.onBlocked != nil {
		h.onBlocked(Blocked{Shard: req.Shard, Engine: engine, Edge: req.Edge, Zone: req.Zone, Backoff: backoff})
	}
}
