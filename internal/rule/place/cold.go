package place

import (
	"time"

	"valescale/internal/plat/ident"
)

// Cold is what an engine that has just started bears: few requests a second, whoever sends them.
type Cold struct {
	// Until is when it is warm.
	Until time.Time
	// Rate is how many requests a second it bears until then; zero means any.
	Rate float64
}

// binds reports whether the engine is cold.
func (c Cold) active(now time.Time) bool { return c.Rate > 0 && now.Before(c.Until) }

// coldBurst is how many seconds' worth of a cold engine's requests it may get at once. With it an
// engine gets 1.25 times its rate in a second at most; the rest of what engines are built to
// bear, half as much again, is for routers that decide alone meanwhile.
const coldBurstSeconds = 0.25

// coldPace spaces the requests that a home sends to a cold engine. It holds back also those that
// must be placed: an engine that falls over serves nobody.
type coldPacer struct {
	// due is when all that was sent would be done at the engine's rate.
	due time.Time
}

// bears reports whether a cold engine may get another request; share is the part of the shard's
// work that this home admits.
func (p *coldPacer) allows(now time.Time, c Cold, share float64) bool {
	if !c.active(now) {
		return true
	}
	ahead := time.Duration(coldBurstSeconds*float64(time.Second)) - spacing(c, share)
	return p.due.Sub(now) <= max(ahead, 0)
}

// sent notes a request to a cold engine.
func (p *coldPacer) sent(now time.Time, c Cold, share float64) {
	if !c.active(now) {
		return
	}
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(spacing(c, share))
}

// spacing is the time between two requests at a part of a cold engine's rate.
func spacing(c Cold, share float64) time.Duration {
	return time.Duration(float64(time.Second) / (c.Rate * share))
}

// bearsPart reports whether a cold engine may get a request from one of the routers that decide
// alone. They cannot count together, so time is cut into slots, one for each request that the
// engine bears; each router draws for itself, by a hash of slot, router and engine, whether the slot is
// its own. One of them has it on average, whatever their clocks say.
func (c Cold) allowsShare(now time.Time, pairHash uint64, routers int) bool {
	if !c.active(now) {
		return true
	}
	slot := uint64(float64(now.UnixNano()) / float64(time.Second) * c.Rate)
	return ident.Unit(ident.Mix(slot, pairHash))*float64(max(routers, 1)) < 1
}
