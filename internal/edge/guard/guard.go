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
	// TriggerGossip requests that suspect requests are gossiped to the peers soon; it must not
	// block.
	TriggerGossip func()
}

// Guard detects requests under which targets crash and quarantines them.
type Guard struct {
	Parts
	ctx    context.Context
	mu     sync.Mutex
	record *crash.Record
	// probes are the running probes by the target's address.
	probes map[string]*probe
	// quarantined are the requests that were last logged as quarantined.
	quarantined map[ident.Fingerprint]bool
	// unsaved are the requests whose rows have yet to be written to the store; saveRequested wakes
	// the goroutine that writes them.
	unsaved       map[ident.Fingerprint]bool
	saveRequested chan struct{}
}

// New returns a guard and the function that cancels its probes of targets.
func New(parts Parts) (*Guard, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		Parts: parts, ctx: ctx, record: crash.NewRecord(), probes: map[string]*probe{}, quarantined: map[ident.Fingerprint]bool{},
		unsaved: map[ident.Fingerprint]bool{}, saveRequested: make(chan struct{}, 1),
	}, cancel
}

// Interruption is a response of a target that was interrupted, or missing because the connection
// failed.
type Interruption struct {
	// Request is the request's id, for the log.
	Request     string
	Fingerprint ident.Fingerprint
	// Parts are the parts of the prompt that other requests may share.
	Parts []ident.PartHash
	// Workspace and Route are those of the request, for the log. Route is empty if there are no routes.
	Workspace ident.Workspace
	Route     match.RouteName
	Target    route.Target
	// Ran is the time for which the request had been at the target.
	Ran time.Duration
}

// QuarantineLeft returns the remaining quarantine time of a request; zero if it is not quarantined.
func (g *Guard) QuarantineLeft(request ident.Fingerprint) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record.QuarantineLeft(g.Clock(), request)
}

// Served records that a target sent a complete response to a request.
func (g *Guard) Served(request ident.Fingerprint) {
	g.mu.Lock()
	change := g.record.Served(g.Clock(), request)
	g.updateQuarantine(request, change)
	g.mu.Unlock()
	g.gossipIfUrgent(change)
}

// ReportInterrupted records an interrupted response and probes whether the target crashed. It waits
// for the probe only if the request is already suspect and may be quarantined as a result, since
// that has to be known before the request is sent again.
func (g *Guard) ReportInterrupted(b Interruption) {
	g.mu.Lock()
	suspect := g.record.NearQuarantine(b.Fingerprint)
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
	_ = level.Info(g.Logger).Log("msg", "response interrupted", "request", b.Request, "fingerprint", b.Fingerprint,
		"parts", ident.JoinParts(b.Parts), "workspace", b.Workspace, "route", b.Route, "target", b.Target.ID, "addr", b.Target.Addr, "ran_ms", b.Ran.Milliseconds(), "target_gone", targetGone)
	if !targetGone {
		return
	}
	start := crash.NewStart(b.Target.ID.Hash(), b.Target.Incarnation)
	g.mu.Lock()
	change := g.record.Crashed(g.Clock(), b.Fingerprint, start, b.Ran)
	g.updateQuarantine(b.Fingerprint, change)
	g.mu.Unlock()
	g.gossipIfUrgent(change)
}

// Outgoing returns the suspect requests for a gossip message to one peer of a fleet of the given
// number of routers.
func (g *Guard) Outgoing(routers int) []crash.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record.Outgoing(g.Clock(), routers)
}

// Incoming merges suspect requests received from a peer or read from the store.
func (g *Guard) Incoming(list []crash.Suspect) {
	highest := crash.Nothing
	g.mu.Lock()
	for _, s := range list {
		change := g.record.Merge(g.Clock(), s)
		g.updateQuarantine(s.Request, change)
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

// updateQuarantine logs the start and the end of a request's quarantine. If this router observed
// one of the crashes itself, it also logs changes during the quarantine and has the request's row
// written. The caller holds the lock.
func (g *Guard) updateQuarantine(request ident.Fingerprint, change crash.Urgency) {
	if change == crash.Nothing {
		return
	}
	left := g.record.QuarantineLeft(g.Clock(), request)
	s, own, _ := g.record.Find(request)
	if quarantined := left > 0; quarantined != g.quarantined[request] || quarantined && own {
		_ = level.Info(g.Logger).Log("msg", "request quarantine updated", "fingerprint", request, "held", quarantined,
			"targets_gone", len(s.Crashes), "for_ms", left.Milliseconds(), "seen_here", own)
	}
	delete(g.quarantined, request)
	if left == 0 {
		return
	}
	g.quarantined[request] = true
	if own {
		g.scheduleSave(request)
	}
}

// Quarantined returns the number of quarantined requests.
func (g *Guard) Quarantined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record.Quarantined(g.Clock())
}

// Sweep removes expired entries.
func (g *Guard) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Sweep(g.Clock())
	for request := range g.quarantined {
		if g.record.QuarantineLeft(g.Clock(), request) == 0 {
			delete(g.quarantined, request)
		}
	}
}
