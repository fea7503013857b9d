package guard

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/match"
)

// Prober checks whether targets are still running.
type Prober interface {
	// ConnectionRefused reports whether no process listens at the address any more.
	ConnectionRefused(ctx context.Context, addr string) bool
}

// Parts are the dependencies of a Guard.
type Parts struct {
	Prober Prober
	Store  Store
	Logger log.Logger
	Clock  ident.Clock
	// IsReader reports whether this router is a reader, which reads the store's tables for the
	// other routers.
	IsReader func() bool
	// TriggerGossip requests that suspects are gossiped to the peers soon; it must not block.
	TriggerGossip func()
	// Rank returns the position of this router in an order of the live routers that depends on a hash,
	// from zero. It must not call the guard.
	Rank func(hash uint64) int
}

// Guard detects requests, and parts of prompts, under which targets crash and quarantines them.
type Guard struct {
	Parts
	ctx    context.Context
	mu     sync.Mutex
	record *crash.Record
	// probes are the running probes by the target's address.
	probes map[string]*probe
	// quarantined are the traits that were last logged as quarantined.
	quarantined map[crash.Trait]bool
	// unsaved are the traits whose rows have yet to be written to the store; saveRequested wakes the
	// goroutine that writes them.
	unsaved       map[crash.Trait]bool
	saveRequested chan struct{}
}

// New returns a guard and the function that cancels its probes of targets.
func New(parts Parts) (*Guard, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	rank := func(t crash.Trait) int { return parts.Rank(t.Hash) }
	return &Guard{
		Parts: parts, ctx: ctx, record: crash.NewRecord(rank), probes: map[string]*probe{}, quarantined: map[crash.Trait]bool{},
		unsaved: map[crash.Trait]bool{}, saveRequested: make(chan struct{}, 1),
	}, cancel
}

// Interruption is a response of a target that was interrupted, or missing because the connection
// failed.
type Interruption struct {
	// Request is the request's id, for the log.
	Request string
	// Traits are those of the request, the whole request first.
	Traits []crash.Trait
	// Trial is set if the attempt was a trial after a quarantine.
	Trial bool
	// Workspace and Route are those of the request, for the log. Route is empty if there are no routes.
	Workspace ident.Workspace
	Route     match.RouteName
	Target    route.Target
	// Ran is the time for which the request had been at the target.
	Ran time.Duration
}

// Quarantine returns the quarantine of a request with the given traits.
func (g *Guard) Quarantine(traits []crash.Trait) crash.Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record.Quarantine(g.Clock(), traits)
}

// Admit returns the quarantine of a request with the given traits that is about to be sent. It must be
// called once before each attempt: after a quarantine, the first request admitted is a trial.
func (g *Guard) Admit(traits []crash.Trait) crash.Quarantine {
	g.mu.Lock()
	quarantine, change := g.record.Admit(g.Clock(), traits)
	if change != crash.Nothing {
		_ = level.Info(g.Logger).Log("msg", "trial of a quarantined request", "traits", crash.Join(traits))
	}
	g.mu.Unlock()
	g.gossipIfUrgent(change)
	return quarantine
}

// Abandon ends a trial whose attempt showed nothing.
func (g *Guard) Abandon(traits []crash.Trait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Abandon(traits)
}

// Served records that a target sent a complete response to a request with the given traits.
func (g *Guard) Served(traits []crash.Trait) {
	g.mu.Lock()
	change := g.record.Served(g.Clock(), traits)
	g.updateQuarantines(traits, change)
	g.mu.Unlock()
	g.gossipIfUrgent(change)
}

// ReportInterrupted records an interrupted response and probes whether the target crashed. It waits
// for the probe only if the request is already suspect and may be quarantined as a result, since
// that has to be known before the request is sent again.
func (g *Guard) ReportInterrupted(b Interruption) {
	g.mu.Lock()
	suspect := g.record.NearQuarantine(b.Traits)
	g.mu.Unlock()
	if suspect {
		g.checkCrash(b)
		return
	}
	go g.checkCrash(b)
}

// checkCrash probes the target and, if it crashed, attributes the crash to the request.
func (g *Guard) checkCrash(b Interruption) {
	targetGone := g.targetGone(b.Target.Addr)
	_ = level.Info(g.Logger).Log("msg", "response interrupted", "request", b.Request, "fingerprint", b.Traits[0],
		"parts", crash.Join(b.Traits[1:]), "workspace", b.Workspace, "route", b.Route, "target", b.Target.ID, "addr", b.Target.Addr, "ran_ms", b.Ran.Milliseconds(), "target_gone", targetGone)
	if !targetGone {
		if b.Trial {
			g.Abandon(b.Traits)
		}
		return
	}
	start := crash.NewStart(b.Target.ID.Hash(), b.Target.Incarnation)
	g.mu.Lock()
	change := g.record.Crashed(g.Clock(), b.Traits, start, b.Ran)
	g.updateQuarantines(b.Traits, change)
	g.mu.Unlock()
	g.gossipIfUrgent(change)
}

// Outgoing returns the suspects for a gossip message to one peer of a fleet of the given
// number of routers.
func (g *Guard) Outgoing(routers int) []crash.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record.Outgoing(g.Clock(), routers)
}

// Incoming merges suspects received from a peer or read from the store.
func (g *Guard) Incoming(list []crash.Suspect) {
	highest := crash.Nothing
	g.mu.Lock()
	for _, s := range list {
		change := g.record.Merge(g.Clock(), s)
		g.updateQuarantines([]crash.Trait{s.Trait}, change)
		highest = max(highest, change)
	}
	g.mu.Unlock()
	g.gossipIfUrgent(highest)
}

// gossipIfUrgent triggers gossip for an urgent change.
func (g *Guard) gossipIfUrgent(change crash.Urgency) {
	if change == crash.Urgent {
		g.TriggerGossip()
	}
}

// updateQuarantines updates the quarantines of traits after a change of the record; the caller holds
// the lock.
func (g *Guard) updateQuarantines(traits []crash.Trait, change crash.Urgency) {
	if change == crash.Nothing {
		return
	}
	for _, t := range traits {
		g.updateQuarantine(t)
	}
}

// updateQuarantine logs the start and the end of a trait's quarantine. If this router observed one of
// the crashes itself, it also logs changes during the quarantine and has the trait's row written.
func (g *Guard) updateQuarantine(t crash.Trait) {
	now := g.Clock()
	left := g.record.Quarantine(now, []crash.Trait{t}).Left
	s, own, _ := g.record.Find(t)
	if quarantined := left > 0; quarantined != g.quarantined[t] || quarantined && own {
		_ = level.Info(g.Logger).Log("msg", "request quarantine updated", "trait", t.Kind, "fingerprint", t, "held", quarantined,
			"targets_gone", len(s.Crashes), "for_ms", left.Milliseconds(), "seen_here", own, "answered", s.Answered())
	}
	delete(g.quarantined, t)
	if left == 0 {
		return
	}
	g.quarantined[t] = true
	if own {
		g.scheduleSave(t)
	}
}

// Quarantined returns the number of traits of a kind that are quarantined.
func (g *Guard) Quarantined(kind crash.Kind) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record.Quarantined(g.Clock(), kind)
}

// Sweep removes expired entries.
func (g *Guard) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Sweep(g.Clock())
	for t := range g.quarantined {
		if g.record.Quarantine(g.Clock(), []crash.Trait{t}).Left == 0 {
			delete(g.quarantined, t)
		}
	}
}
