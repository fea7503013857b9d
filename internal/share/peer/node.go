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

// Dialer gives the client of the router at an address.
type Dialer interface {
	At(addr string) peerpb.PeerServiceClient
	// Unanswered tells of requests to an address that were not answered in time.
	Unanswered(addr string)
}

// Lister reads the platform's list of boxes.
type Lister interface {
	List(ctx context.Context) ([]boxes.Box, error)
}

// Hooks are called, outside of any lock, when something changed.
type Hooks struct {
	// Changed is called after routers or targets changed.
	Changed func()
	// Head is called when a router tells of a later revision than any known.
	Head func(revision ident.Revision, from ident.Router)
	// Era is called when a router has heard of a later era of the store than any known.
	Era func(era table.Era)
}

// Crashes are what routers tell each other of requests under which targets end.
type Crashes interface {
	// Outgoing returns what is to be told one of so many routers.
	Outgoing(routers int) []crash.Suspect
	// Incoming takes in what another router tells.
	Incoming(list []crash.Suspect)
}

// Trials are what routers tell each other of versions on trial.
type Trials interface {
	// Reports returns what is to be told a router.
	Reports() []canary.Report
	// Heard takes in what another router tells.
	Heard(reports []canary.Report)
}

// Pace is how often things are done.
type Pace struct {
	Gossip time.Duration
	List   time.Duration
	// Call bounds one exchange.
	Call time.Duration
	// Fanout is how many peers are told at once of a new revision or of leaving.
	Fanout int
}

// DefaultPace stays within a few kilobytes a second.
var DefaultPace = Pace{Gossip: time.Second, List: 2 * time.Second, Call: time.Second, Fanout: 3}

// Node exchanges digests with other routers and reads the list of boxes.
type Node struct {
	mu      sync.Mutex
	view    *View
	version uint64
	rng     *rand.Rand
	dial    Dialer
	list    Lister
	pace    Pace
	hooks   Hooks
	seeds   []Member
	clock   ident.Clock
	crashes Crashes
	trials  Trials
	// urgent asks for news to be passed on ahead of the rounds.
	urgent chan struct{}
}

// NewNode returns a node that does nothing until Run; seeds are addresses to try
// while no other router is known. Without a lister the view is told of boxes by others.
func NewNode(view *View, dial Dialer, list Lister, pace Pace, seeds []string, seed uint64, clock ident.Clock) *Node {
	n := &Node{
		view:  view,
		rng:   rand.New(rand.NewPCG(seed, seed)),
		dial:  dial,
		list:  list,
		pace:  pace,
		clock: clock,

		urgent: make(chan struct{}, 1),
	}
	for _, addr := range seeds {
		n.seeds = append(n.seeds, Member{ID: ident.Router(addr), Addr: addr})
	}
	return n
}

// SetHooks sets what is called on changes; it must come before Run.
func (n *Node) SetHooks(hooks Hooks) { n.hooks = hooks }

// SetCrashes sets what is told of requests under which targets end; it must come before Run.
func (n *Node) SetCrashes(c Crashes) { n.crashes = c }

// SetTrials sets what is told of versions on trial; it must come before Run.
func (n *Node) SetTrials(t Trials) { n.trials = t }

// Spread has news passed on ahead of the rounds, from router to router.
func (n *Node) Spread() {
	select {
	case n.urgent <- struct{}{}:
	default:
		// It is asked for already.
	}
}

// spreadPause is the least time between two such tellings: an engine that ends makes news at every router
// that had a request there, within milliseconds. Three hops through a fleet take 0.3 s.
const spreadPause = 100 * time.Millisecond

// spread passes urgent news on. It does not wait for answers: a peer that is frozen takes a second.
func (n *Node) spread(ctx context.Context, wg *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
			wg.Go(func() { n.Tell(ctx) })
		}
		if !pause.For(ctx, spreadPause) {
			return
		}
	}
}

// Run works until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if n.list != nil {
		wg.Go(func() { n.every(ctx, n.pace.List, n.readList) })
	}
	wg.Go(func() { n.spread(ctx, &wg) })
	n.every(ctx, n.pace.Gossip, func(ctx context.Context) {
		n.round(ctx, &wg)
	})
}

// every calls work at once and then at intervals that vary by a fifth, so that
// routers do not fall into step.
func (n *Node) every(ctx context.Context, interval time.Duration, work func(context.Context)) {
	for {
		work(ctx)
		n.mu.Lock()
		wait := interval - interval/10 + time.Duration(n.rng.Int64N(int64(interval/5)+1))
		n.mu.Unlock()
		if !pause.For(ctx, wait) {
			return
		}
	}
}

func (n *Node) readList(ctx context.Context) {
	list, err := n.list.List(ctx)
	if err != nil {
		return
	}
	n.Do(func(v *View) { v.ObserveList(n.clock(), list) })
}

// Do runs a change of the view and tells the hooks if it mattered.
func (n *Node) Do(change func(*View)) {
	n.mu.Lock()
	change(n.view)
	changed := n.view.Version() != n.version
	n.version = n.view.Version()
	n.mu.Unlock()
	if changed && n.hooks.Changed != nil {
		n.hooks.Changed()
	}
}

// Read runs a look at the view.
func (n *Node) Read(look func(*View)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	look(n.view)
}

// round exchanges digests with one peer.
func (n *Node) round(ctx context.Context, wg *sync.WaitGroup) {
	n.Do(func(v *View) { v.Tick(n.clock()) })
	for _, peer := range n.pick(1) {
		wg.Go(func() { _ = n.Exchange(ctx, peer) })
	}
}

// Tell exchanges digests with several peers at once, so that news travels ahead of the rounds.
func (n *Node) Tell(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range n.pick(n.pace.Fanout) {
		wg.Go(func() { _ = n.Exchange(ctx, peer) })
	}
	wg.Wait()
}

// pick chooses whom to exchange news with: the seeds while nobody else is known.
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

// Exchange sends news to one peer and takes in its news.
func (n *Node) Exchange(ctx context.Context, peer Member) error {
	ctx, cancel := context.WithTimeout(ctx, n.pace.Call)
	defer cancel()
	out := n.outgoing(peer.ID, false)
	reply, err := n.dial.At(peer.Addr).Gossip(ctx, connect.NewRequest(Encode(n.clock(), out)))
	if err != nil {
		if ctx.Err() != context.Canceled && !fault.OwnLack(err) {
			n.Do(func(v *View) { v.ContactFailed(n.clock(), peer.ID) })
		}
		return fault.New("peer.Exchange", Unreachable, err)
	}
	in := Decode(n.clock(), reply.Msg)
	if n.Incoming(in) {
		whole := n.outgoing(peer.ID, true)
		_, err = n.dial.At(peer.Addr).Gossip(ctx, connect.NewRequest(Encode(n.clock(), whole)))
	}
	return err
}

func (n *Node) outgoing(to ident.Router, whole bool) Digest {
	n.mu.Lock()
	d := n.view.Outgoing(to, whole)
	routers := len(n.view.members)
	n.mu.Unlock()
	if n.crashes != nil {
		d.Suspects = n.crashes.Outgoing(routers)
	}
	if n.trials != nil {
		d.Trials = n.trials.Reports()
	}
	return d
}

// Incoming takes in a peer's digest and reports whether the peer asks for the whole list of members.
func (n *Node) Incoming(d Digest) bool {
	var news News
	n.Do(func(v *View) { news = v.Incoming(n.clock(), d) })
	if news.Head > 0 && n.hooks.Head != nil {
		n.hooks.Head(news.Head, d.From)
	}
	if news.Era > 0 && n.hooks.Era != nil {
		n.hooks.Era(news.Era)
	}
	if n.crashes != nil && len(d.Suspects) > 0 {
		n.crashes.Incoming(d.Suspects)
	}
	if n.trials != nil && len(d.Trials) > 0 {
		n.trials.Heard(d.Trials)
	}
	return news.SendWhole
}

// Answer takes in a peer's digest and returns this router's.
func (n *Node) Answer(d Digest) Digest {
	whole := n.Incoming(d)
	return n.outgoing(d.From, whole)
}

// Gossip is Answer in the form of the wire.
func (n *Node) Gossip(in *peerpb.Digest) *peerpb.Digest {
	return Encode(n.clock(), n.Answer(Decode(n.clock(), in)))
}

// Unanswered tells of requests to a router that were not answered in time.
func (n *Node) Unanswered(id ident.Router) {
	n.mu.Lock()
	m, ok := n.view.Member(id)
	n.mu.Unlock()
	if ok {
		n.dial.Unanswered(m.Addr)
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
