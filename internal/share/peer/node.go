package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/rule/crash"
	"valescale/internal/share/peerpb"
)

// Dialer returns the client of the router at an address.
type Dialer interface {
	At(addr string) peerpb.PeerServiceClient
	// ReportUnanswered reports that requests to an address timed out.
	ReportUnanswered(addr string)
}

// Lister reads the platform's list of boxes.
type Lister interface {
	List(ctx context.Context) ([]boxes.Box, error)
}

// Hooks are the callbacks for changes. They are called without holding a lock.
type Hooks struct {
	// Changed is called after routers or targets changed.
	Changed func()
	// Head is called when a router sends a later revision than any received before.
	Head func(revision ident.Revision, from ident.Router)
	// Era is called when a router sends a later era of the store than any received before.
	Era func(era table.Era)
}

// Crashes exchanges the records of requests under which targets crashed.
type Crashes interface {
	// Outgoing returns the records to send to one router of a fleet of the given size.
	Outgoing(routers int) []crash.Suspect
	// Incoming merges the records from another router.
	Incoming(list []crash.Suspect)
}

// CanaryReports exchanges the evidence on versions under canary rollout.
type CanaryReports interface {
	// Reports returns the reports to send to a router.
	Reports() []canary.Report
	// MergeReports merges the reports from another router.
	MergeReports(reports []canary.Report)
}

// Pace contains the intervals and limits of gossip and of reading the list of boxes.
type Pace struct {
	Gossip time.Duration
	List   time.Duration
	// Call limits the duration of one exchange.
	Call time.Duration
	// Fanout is the number of peers that GossipNow exchanges digests with, for example for a new
	// revision or when the router leaves.
	Fanout int
}

// DefaultPace keeps the traffic of gossip within a few kilobytes a second.
var DefaultPace = Pace{Gossip: time.Second, List: 2 * time.Second, Call: time.Second, Fanout: 3}

// Node exchanges digests with other routers and reads the list of boxes.
type Node struct {
	mu            sync.Mutex
	view          *View
	version       uint64
	rng           *rand.Rand
	dial          Dialer
	list          Lister
	pace          Pace
	hooks         Hooks
	seeds         []Member
	clock         ident.Clock
	crashes       Crashes
	canaryReports CanaryReports
	pressure      func() Pressure
	room          roomCheck
	// trigger requests an exchange ahead of the next round.
	trigger chan struct{}
}

// NewNode returns a node that is idle until Run is called. The seeds are the addresses that are
// used while the view contains no other router. With a nil lister, the caller updates the view with
// the boxes through UpdateView.
func NewNode(view *View, dial Dialer, list Lister, pace Pace, seeds []string, seed uint64, clock ident.Clock) *Node {
	n := &Node{
		view:  view,
		rng:   rand.New(rand.NewPCG(seed, seed)),
		dial:  dial,
		list:  list,
		pace:  pace,
		clock: clock,

		trigger: make(chan struct{}, 1),
	}
	for _, addr := range seeds {
		n.seeds = append(n.seeds, Member{ID: ident.Router(addr), Addr: addr})
	}
	return n
}

// SetHooks sets the callbacks for changes. It must be called before Run.
func (n *Node) SetHooks(hooks Hooks) { n.hooks = hooks }

// SetCrashes sets the source and receiver of the records of requests under which targets crashed.
// It must be called before Run.
func (n *Node) SetCrashes(c Crashes) { n.crashes = c }

// SetCanaryReports sets the source and receiver of the canary reports. It must be called before Run.
func (n *Node) SetCanaryReports(reports CanaryReports) { n.canaryReports = reports }

// TriggerGossip triggers an exchange ahead of the next round, so that urgent updates spread from
// router to router without waiting for rounds.
func (n *Node) TriggerGossip() {
	select {
	case n.trigger <- struct{}{}:
	default:
		// An exchange is already requested.
	}
}

// triggerInterval is the minimum time between two triggered exchanges: a crash of an engine
// produces updates at every router that had a request there, within milliseconds. Three hops
// through a fleet take 0.3 s.
const triggerInterval = 100 * time.Millisecond

// runTriggered runs the triggered exchanges. It does not wait for the responses: a peer that is
// frozen delays an exchange by a second.
func (n *Node) runTriggered(ctx context.Context, wg *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.trigger:
			wg.Go(func() { n.GossipNow(ctx) })
		}
		if !pause.Sleep(ctx, triggerInterval) {
			return
		}
	}
}

// Run exchanges digests and reads the list of boxes until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if n.list != nil {
		wg.Go(func() { n.every(ctx, n.pace.List, n.readList) })
	}
	wg.Go(func() { n.runTriggered(ctx, &wg) })
	n.every(ctx, n.pace.Gossip, func(ctx context.Context) {
		n.gossipRound(ctx, &wg)
	})
}

// every calls work immediately and then at intervals with a jitter of a tenth in both directions,
// so that routers do not synchronize.
func (n *Node) every(ctx context.Context, interval time.Duration, work func(context.Context)) {
	for {
		work(ctx)
		n.mu.Lock()
		wait := interval - interval/10 + time.Duration(n.rng.Int64N(int64(interval/5)+1))
		n.mu.Unlock()
		if !pause.Sleep(ctx, wait) {
			return
		}
	}
}

func (n *Node) readList(ctx context.Context) {
	list, err := n.list.List(ctx)
	if err != nil {
		return
	}
	n.UpdateView(func(v *View) { v.ObserveList(n.clock(), list) })
}

// UpdateView applies a change to the view and calls the Changed hook if the version of the view has
// changed.
func (n *Node) UpdateView(change func(*View)) {
	n.mu.Lock()
	change(n.view)
	changed := n.view.Version() != n.version
	n.version = n.view.Version()
	n.mu.Unlock()
	if changed && n.hooks.Changed != nil {
		n.hooks.Changed()
	}
}

// Read calls a function with the view while the lock is held.
func (n *Node) Read(read func(*View)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	read(n.view)
}

// Rank returns the position of this router in an order of the live routers that depends on a hash, from
// zero.
func (n *Node) Rank(hash uint64) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Rank(hash)
}

// gossipRound starts an exchange of digests with one peer.
func (n *Node) gossipRound(ctx context.Context, wg *sync.WaitGroup) {
	n.UpdateView(func(v *View) { v.Tick(n.clock()) })
	for _, peer := range n.pick(1) {
		wg.Go(func() { _ = n.Exchange(ctx, peer) })
	}
}

// GossipNow exchanges digests with several peers at once, so that updates spread ahead of the
// rounds.
func (n *Node) GossipNow(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range n.pick(n.pace.Fanout) {
		wg.Go(func() { _ = n.Exchange(ctx, peer) })
	}
	wg.Wait()
}

// pick selects the peers for an exchange, or seeds while the view contains no other router.
func (n *Node) pick(count int) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if peers := n.view.Pick(n.rng, count); len(peers) > 0 {
		return peers
	}
	seeds := slices.Clone(n.seeds)
	n.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(count, len(seeds))]
}

// Exchange sends a digest to one peer and merges the digest of its response. A failed exchange
// makes the peer suspect, unless the cause is a lack of resources of this process.
func (n *Node) Exchange(ctx context.Context, peer Member) error {
	ctx, cancel := context.WithTimeout(ctx, n.pace.Call)
	defer cancel()
	out := n.outgoing(peer.ID, false)
	reply, err := n.dial.At(peer.Addr).Gossip(ctx, connect.NewRequest(Encode(n.clock(), out)))
	if err != nil {
		if ctx.Err() != context.Canceled && !fault.IsLocalResourceError(err) {
			n.UpdateView(func(v *View) { v.ContactFailed(n.clock(), peer.ID) })
		}
		return fault.New("peer.Exchange", Unreachable, err)
	}
	in := Decode(n.clock(), reply.Msg)
	if n.Incoming(in) {
		full := n.outgoing(peer.ID, true)
		_, err = n.dial.At(peer.Addr).Gossip(ctx, connect.NewRequest(Encode(n.clock(), full)))
	}
	return err
}

func (n *Node) outgoing(to ident.Router, full bool) Digest {
	n.mu.Lock()
	d := n.view.Outgoing(to, full)
	routers := len(n.view.members)
	n.mu.Unlock()
	if n.crashes != nil {
		d.Suspects = n.crashes.Outgoing(routers)
	}
	if n.canaryReports != nil {
		d.CanaryReports = n.canaryReports.Reports()
	}
	if n.pressure != nil {
		d.Pressure = n.pressure()
	}
	return d
}

// Incoming merges a peer's digest and reports whether the peer requests the full list of members.
func (n *Node) Incoming(d Digest) bool {
	var update Update
	n.UpdateView(func(v *View) { update = v.Incoming(n.clock(), d) })
	if update.Head > 0 && n.hooks.Head != nil {
		n.hooks.Head(update.Head, d.From)
	}
	if update.Era > 0 && n.hooks.Era != nil {
		n.hooks.Era(update.Era)
	}
	if n.crashes != nil && len(d.Suspects) > 0 {
		n.crashes.Incoming(d.Suspects)
	}
	if n.canaryReports != nil && len(d.CanaryReports) > 0 {
		n.canaryReports.MergeReports(d.CanaryReports)
	}
	return update.SendMembers
}

// Respond merges a peer's digest and returns the digest of this router.
func (n *Node) Respond(d Digest) Digest {
	full := n.Incoming(d)
	return n.outgoing(d.From, full)
}

// Gossip is Respond for digests in wire form.
func (n *Node) Gossip(in *peerpb.Digest) *peerpb.Digest {
	return Encode(n.clock(), n.Respond(Decode(n.clock(), in)))
}

// ReportUnanswered reports that requests to a router timed out.
func (n *Node) ReportUnanswered(id ident.Router) {
	n.mu.Lock()
	m, ok := n.view.Member(id)
	n.mu.Unlock()
	if ok {
		n.dial.ReportUnanswered(m.Addr)
	}
}

// Client returns the client of a router.
func (n *Node) Client(id ident.Router) (peerpb.PeerServiceClient, error) {
	n.mu.Lock()
	m, ok := n.view.Member(id)
	n.mu.Unlock()
	if !ok {
		return nil, fault.Newf("peer.Client", Unlisted, "%s", id)
	}
	return n.dial.At(m.Addr), nil
}
