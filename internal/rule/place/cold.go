package place

import (
	"time"

	"valescale/internal/plat/ident"
)

// Cold is the request rate that an engine can serve after its start, summed over all routers.
type Cold struct {
	// Until is when the engine becomes warm.
	Until time.Time
	// Rate is the number of requests per second until then. Zero means no limit.
	Rate float64
}

// active reports whether the engine is cold.
func (c Cold) active(now time.Time) bool { return c.Rate > 0 && now.Before(c.Until) }

// coldBurstSeconds is the burst that a cold engine may receive, in seconds of its rate. It limits
// an engine to 1.25 times its rate in any second. Engines tolerate 1.5 times their rate; the
// difference is left for routers that place requests without a home meanwhile.
const coldBurstSeconds = 0.25

// coldPacer limits the rate of requests that a home sends to a cold engine. It also delays
// requests that must be placed, because an engine that crashes under load serves no requests.
type coldPacer struct {
	// due is when the engine has served all sent requests at its rate.
	due time.Time
}

// allows reports whether a cold engine may receive another request. share is the fraction of the
// shard's work that this home admits.
func (p *coldPacer) allows(now time.Time, c Cold, share float64) bool {
	if !c.active(now) {
		return true
	}
	ahead := time.Duration(coldBurstSeconds*float64(time.Second)) - spacing(c, share)
	return p.due.Sub(now) <= max(ahead, 0)
}

// sent records a request to a cold engine.
func (p *coldPacer) sent(now time.Time, c Cold, share float64) {
	if !c.active(now) {
		return
	}
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(spacing(c, share))
}

// spacing returns the time between two requests at a share of a cold engine's rate.
func spacing(c Cold, share float64) time.Duration {
	return time.Duration(float64(time.Second) / (c.Rate * share))
}

// allowsShare reports whether a router without a home may send a request to a cold engine. Such
// routers have no common count. Therefore time is divided into slots, one for each request at the
// engine's rate, and a hash of slot, router and engine decides whether the router owns the slot.
// On average one router owns each slot, regardless of clock differences.
func (c Cold) allowsShare(now time.Time, pairHash uint64, routers int) bool {
	if !c.active(now) {
		return true
	}
	slot := uint64(float64(now.UnixNano()) / float64(time.Second) * c.Rate)
	return ident.Unit(ident.Mix(slot, pairHash))*float64(max(routers, 1)) < 1
}
