package guard

import (
	"context"
	"time"
)

// probe is one check whether a target is still running.
type probe struct {
	done       chan struct{}
	targetGone bool
}

// probeTimeout limits a probe. It covers many round trips and does not exceed the timeout for
// connecting to a target.
const probeTimeout = 250 * time.Millisecond

// targetGone probes whether a target crashed. Concurrent calls for a target share one probe, since
// the crash of an engine interrupts about a dozen requests of a router at once.
func (g *Guard) targetGone(addr string) bool {
	g.mu.Lock()
	p, running := g.probes[addr]
	if !running {
		p = &probe{done: make(chan struct{})}
		g.probes[addr] = p
	}
	g.mu.Unlock()
	if running {
		<-p.done
		return p.targetGone
	}
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	p.targetGone = g.Prober.ConnectionRefused(ctx, addr)
	g.mu.Lock()
	delete(g.probes, addr)
	g.mu.Unlock()
	close(p.done)
	return p.targetGone
}
