package feed

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// State is the position of a table's replica.
type State struct {
	Table table.Name
	Known bool
	At    table.Position
	// Rank is the highest rank of an effective row of the replica, zero if no row has one.
	Rank uint64
}

// Reply is one table's page from a peer.
type Reply struct {
	Table table.Name
	Page  table.Page
}

// Peers reads tables from other routers.
type Peers interface {
	// Rows returns the changes since the given states. The peer may hold the call for up to wait.
	Rows(ctx context.Context, from ident.Router, have []State, wait time.Duration) ([]Reply, error)
	// Candidates returns the routers that may have fresh data, in order of preference.
	Candidates() []ident.Router
}

// Puller updates the replicas of all tables from peers while the router's role requires it.
type Puller struct {
	replicas *Replicas
	peers    Peers
	names    []table.Name
	timing   Timing
	roles    *Roles
	logger   log.Logger
	clock    ident.Clock
	// avoidUntil contains the peers that failed, and until when they are not called.
	avoidUntil map[ident.Router]time.Time
	// nextPeer is the index of the next peer to call in place of the parent.
	nextPeer int
	// failed is set while the latest call failed, so that an outage is logged once.
	failed bool
	// lastResponse is when a peer last responded, even with stale pages.
	lastResponse time.Time
	// emptyResponses counts the responses of peers that have not loaded all tables.
	emptyResponses int
	// started is the creation time of the puller. For some time after it peers may not have loaded
	// their tables, since the whole fleet may have just started.
	started time.Time
}

// NewPuller returns a puller of some tables.
func NewPuller(replicas *Replicas, peers Peers, names []table.Name, timing Timing, roles *Roles, logger log.Logger, clock ident.Clock) *Puller {
	return &Puller{
		replicas: replicas, peers: peers, names: names, timing: timing, roles: roles, logger: logger, clock: clock,
		avoidUntil: map[ident.Router]time.Time{}, started: clock(),
	}
}

// Run reads from peers until the context ends.
func (p *Puller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.roles.awaitPeers(ctx) {
			return
		}
		peer, ok := p.peer()
		if !ok {
			p.handleResult(ctx, peer, fault.New("feed.Pull", Alone, nil))
			pause.Sleep(ctx, p.timing.MaxBackoff)
			continue
		}
		err := p.Step(ctx, peer)
		p.handleResult(ctx, peer, err)
		if err != nil {
			pause.Sleep(ctx, p.timing.MinBackoff)
		}
	}
}

// peer returns the peer to call: the parent, or the other peers in turn while the parent fails or if
// this router is a reader.
func (p *Puller) peer() (ident.Router, bool) {
	reader, parent := p.roles.Reader()
	if !reader && parent != "" && !p.clock().Before(p.avoidUntil[parent]) {
		return parent, true
	}
	others := p.peers.Candidates()
	if len(others) == 0 {
		return parent, parent != ""
	}
	return others[p.nextPeer%len(others)], true
}

// avoidDuration is how long a peer that failed is not called. Membership detects within that time
// whether the peer has crashed.
const avoidDuration = 2 * time.Second

// handleResult updates the state after a call to a peer.
func (p *Puller) handleResult(ctx context.Context, from ident.Router, err error) {
	if ctx.Err() != nil {
		return
	}
	p.updateConsulting(err)
	if fault.KindOf[Kind](err) == Empty && p.clock().Before(p.started.Add(p.timing.MaxPeerAge)) {
		// The peer has just started too. Another peer may have loaded the tables, and two starting
		// routers must not wait for each other.
		p.nextPeer++
		p.avoidUntil[from] = p.clock().Add(p.timing.PeerFirstWait)
		return
	}
	p.updatePeersUp(err)
	if err != nil {
		p.recordFailure(from, err)
		return
	}
	p.recordSuccess(from)
}

// minEmptyResponses is the number of peers without loaded tables after which a starting router
// assumes that the whole fleet has just started.
const minEmptyResponses = 3

// updateConsulting ends the consultation of peers at the start once one has returned its state, even
// a stale one, or minEmptyResponses peers had none.
func (p *Puller) updateConsulting(err error) {
	kind := fault.KindOf[Kind](err)
	if kind == Empty {
		p.emptyResponses++
	}
	if err == nil || kind == Stale || p.emptyResponses >= minEmptyResponses {
		p.roles.SetConsulting(false)
	}
}

// updatePeersUp records whether peers respond at all. A single failed call does not count as an
// outage.
func (p *Puller) updatePeersUp(err error) {
	kind := fault.KindOf[Kind](err)
	if err == nil || kind == Stale || kind == Empty {
		p.lastResponse = p.clock()
	}
	p.roles.setPeersUp(p.clock().Sub(p.lastResponse) < avoidDuration)
}

// recordSuccess records a successful call and logs the first one after failures.
func (p *Puller) recordSuccess(from ident.Router) {
	if p.failed {
		_ = level.Info(p.logger).Log("msg", "dependency regained", "dependency", "router", "router_asked", from)
	}
	p.failed = false
	delete(p.avoidUntil, from)
	p.roles.setPeersStale(false)
}

// recordFailure records a failed call, logs the first of consecutive failures, and avoids the peer
// for some time.
func (p *Puller) recordFailure(from ident.Router, err error) {
	if !p.failed {
		_ = level.Warn(p.logger).Log("msg", "dependency lost", "dependency", "router", "router_asked", from, "err", err)
	}
	p.failed = true
	p.nextPeer++
	p.avoidUntil[from] = p.clock().Add(p.avoidDelay(err))
	p.roles.setPeersStale(true)
}

// avoidDelay returns how long a failed peer is not called. A peer with stale data is avoided for
// less time, since it may have fresh data with the store's next response.
func (p *Puller) avoidDelay(err error) time.Duration {
	if fault.KindOf[Kind](err) == Stale {
		return p.timing.MaxBackoff
	}
	return avoidDuration
}

// Step makes one call to a peer and applies its response.
func (p *Puller) Step(ctx context.Context, from ident.Router) error {
	const op = "feed.Pull"
	states := p.states()
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout(states))
	defer cancel()
	replies, err := p.peers.Rows(ctx, from, states, p.maxWait(states))
	if err != nil {
		return err
	}
	after := make(map[table.Name]table.Position, len(states))
	for _, s := range states {
		after[s.Table] = s.At
	}
	var stale error
	for _, reply := range replies {
		if reply.Page.Age > p.timing.MaxPeerAge || reply.Page.At.Era < after[reply.Table].Era {
			stale = fault.Newf(op, Stale, "peer %s has a stale table %s: era %d, version %d, confirmed %s ago",
				from, reply.Table, reply.Page.At.Era, reply.Page.At.Version, reply.Page.Age)
			if !p.acceptsStale(reply.Table) {
				p.replicas.MergeRanked(reply.Table, reply.Page)
				continue
			}
		}
		p.replicas.Apply(reply.Table, after[reply.Table], reply.Page)
	}
	if len(replies) < len(p.names) {
		return fault.Newf(op, Empty, "peer %s has loaded %d of %d tables", from, len(replies), len(p.names))
	}
	return stale
}

// acceptsStale reports whether to apply a stale page of a table. A router that has a replica keeps
// it. One without a replica cannot serve, and during a store outage there is no other source, so it
// accepts a stale page once the peers that may have a fresh one have had time to respond.
func (p *Puller) acceptsStale(name table.Name) bool {
	_, loaded := p.replicas.Position(name)
	return !loaded && !p.clock().Before(p.started.Add(p.timing.PeerWait))
}

// maxWait returns how long a peer may hold a call: not at all while this router starts and only
// requests the peer's current state, and a shorter time while a table has not been loaded, since the
// next peer may have it.
func (p *Puller) maxWait(states []State) time.Duration {
	if !p.roles.Consulted() {
		return 0
	}
	if anyMissing(states) {
		return p.timing.PeerFirstWait
	}
	return p.timing.PeerWait
}

// anyMissing reports whether a table has not been loaded.
func anyMissing(states []State) bool {
	return slices.ContainsFunc(states, func(s State) bool { return !s.Known })
}

// states returns the states of this router's replicas.
func (p *Puller) states() []State {
	out := make([]State, 0, len(p.names))
	for _, name := range p.names {
		out = append(out, p.replicas.State(name))
	}
	return out
}

// callTimeout returns the timeout of a call, which is longer while a full table is expected.
func (p *Puller) callTimeout(states []State) time.Duration {
	if anyMissing(states) {
		return p.timing.PeerFullTimeout
	}
	return p.timing.PeerWait + p.timing.TimeoutMargin
}
