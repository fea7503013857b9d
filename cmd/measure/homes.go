package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

// messageOverhead is the overhead of one message on a link, in bytes: an HTTP/2 frame header, the
// envelope of connect, and the headers of IP and TCP.
const messageOverhead = 9 + 5 + 52

const (
	region             ident.Region  = "region"
	service            ident.Service = "judge"
	publishInterval                  = time.Second
	urgentPublishDelay               = 10 * time.Millisecond
	rampTime                         = 10 * time.Second
)

// homesStrategy is strategy C, with the code of the router itself: homes that count permits.
type homesStrategy struct {
	label   string
	bound   place.Bound
	w       *simulation
	nodes   []*node
	bytes   float64
	choices int
	byHash  map[ident.TargetHash]*engine
	// assignments caches the assignments by router list, since views change rarely.
	assignments map[string]*place.Assignment
	// retired holds the routers that have stopped gracefully and finish their requests in flight.
	retired      []*node
	replacements int
}

// node is one simulated router with its homes and its edge.
type node struct {
	id     ident.Router
	homes  *home.Homes
	router *route.Router
	// unseen is a router that is absent from this router's membership view.
	unseen ident.Router
}

func newHomesStrategy() *homesStrategy {
	bound := place.DefaultBound
	bound.Ramp = rampTime
	return &homesStrategy{label: "C homes", bound: bound, byHash: map[ident.TargetHash]*engine{}, assignments: map[string]*place.Assignment{}}
}

func (h *homesStrategy) name() string { return h.label }

func (h *homesStrategy) start(w *simulation) {
	h.w = w
	for _, e := range w.engines {
		h.byHash[e.hash] = e
	}
	for i := range w.routers {
		h.nodes = append(h.nodes, h.newNode(i, ident.Router("router-"+strconv.Itoa(i))))
	}
	h.enginesChanged(w)
	for i := range h.nodes {
		w.schedule(time.Duration(i)*publishInterval/time.Duration(len(h.nodes)), func() {
			w.schedulePeriodic(publishInterval, func() { h.publish(h.nodes[i]) })
		})
	}
	if w.viewsDiffer {
		w.schedulePeriodic(15*time.Second, h.splitViews)
	}
	if w.replace {
		third := len(h.nodes) / 3
		for i := range third {
			w.schedule(w.run/2+w.run/4*time.Duration(i)/time.Duration(third), func() { h.replacePlanned(i) })
		}
	}
	if w.crash {
		w.schedulePeriodic(20*time.Second, func() { h.crash(w.rng.IntN(len(h.nodes))) })
	}
}

// newReplacement returns a new router in the place of one that has stopped.
func (h *homesStrategy) newReplacement(i int) *node {
	h.replacements++
	return h.newNode(i, ident.Router("router-"+strconv.Itoa(i)+"-"+strconv.Itoa(h.replacements)))
}

// replacePlanned replaces a router that stops gracefully: the views of the other routers change at
// once, and its homes hand over their state. Its requests in flight finish normally.
func (h *homesStrategy) replacePlanned(i int) {
	old := h.nodes[i]
	h.nodes[i] = h.newReplacement(i)
	h.retired = append(h.retired, old)
	p := h.pool()
	for _, n := range h.nodes {
		h.refresh(n, p)
	}
	h.refresh(old, p)
	h.w.schedule(urgentPublishDelay, h.publishUrgent)
}

// crash replaces a router that stops without a drain. Its requests in flight are lost. The
// other routers suspect it after suspectDelay, and remove its permits after deadDelay.
func (h *homesStrategy) crash(i int) {
	old := h.nodes[i]
	h.nodes[i] = h.newReplacement(i)
	for _, e := range h.w.engines {
		for _, r := range e.sortedRequests() {
			if r.router == i {
				h.w.finish(r)
			}
		}
	}
	h.w.schedule(suspectDelay, func() {
		p := h.pool()
		for _, n := range h.nodes {
			n.homes.SetSuspectEdges([]ident.Router{old.id})
			h.refresh(n, p)
		}
		h.w.schedule(urgentPublishDelay, h.publishUrgent)
	})
	h.w.schedule(deadDelay, func() {
		for _, n := range h.nodes {
			n.homes.SetSuspectEdges(nil)
			n.homes.RemoveEdgePermits(map[ident.Router]uint64{old.id: ^uint64(0)})
		}
	})
}

// After a crash an exchange fails within suspectDelay, and the other routers skip the router; after
// deadDelay it is considered dead, and its permits are dropped.
const (
	suspectDelay = time.Second
	deadDelay    = 4 * time.Second
)

// newNode creates the router at index i of the fleet.
func (h *homesStrategy) newNode(i int, id ident.Router) *node {
	clock := func() time.Time { return h.w.now }
	n := &node{id: id}
	n.homes = home.New(id, home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
	n.router = route.New(route.Self{
		ID: id, Region: region, Zone: zoneOf(i),
		AfterFunc: func(d time.Duration, f func()) { h.w.schedule(d, f) },
	}, network{h, id}, clock)
	return n
}

// assignment returns the assignment of the pool's shards to routers.
func (h *homesStrategy) assignment(routers []ident.Router) *place.Assignment {
	key := fmt.Sprint(routers)
	if a, ok := h.assignments[key]; ok {
		return a
	}
	var ids []place.ShardID
	for s := range h.w.shards {
		ids = append(ids, place.ShardID{Pool: ident.NewPool(service, region), Shard: ident.Shard(s)})
	}
	a := place.Assign(ids, routers)
	h.assignments[key] = a
	return a
}

// visibleRouters returns the routers that are live in a node's membership view.
func (h *homesStrategy) visibleRouters(n *node) []ident.Router {
	var out []ident.Router
	for _, other := range h.nodes {
		if other.id != n.unseen {
			out = append(out, other.id)
		}
	}
	return out
}

// pool returns the pool, which is the same in all views.
func (h *homesStrategy) pool() route.Pool {
	p := route.Pool{
		Name: ident.NewPool(service, region), Region: region,
		Service: policy.Service{Name: service, Balance: policy.Exact, Shards: h.w.shards, Bound: h.bound.Factor},
		Bound:   place.BoundOf(h.bound.Factor),
	}
	var engines []place.Engine
	for _, e := range h.w.engines {
		if e.up {
			engines = append(engines, place.Engine{
				ID: e.id, Hash: e.hash, Zone: e.zone, Incarnation: e.incarnation, Joined: e.joined,
			})
		}
	}
	p.Roster = place.NewRoster(h.w.shards, engines)
	return p
}

func (h *homesStrategy) enginesChanged(*simulation) {
	p := h.pool()
	for _, n := range h.nodes {
		h.refresh(n, p)
	}
	h.w.schedule(urgentPublishDelay, h.publishUrgent)
}

// publishUrgent publishes the loads of the homes that have urgent changes.
func (h *homesStrategy) publishUrgent() {
	for _, n := range h.nodes {
		select {
		case <-n.homes.Urgent():
			h.publish(n)
		default:
		}
	}
}

// refresh applies a changed membership view to a router.
func (h *homesStrategy) refresh(n *node, p route.Pool) {
	live := h.assignment(h.visibleRouters(n))
	n.homes.SetPool(p.Name, h.bound, p.Roster)
	n.router.Move(context.Background(), n.router.Set([]route.Pool{p}, live))
	for _, transfer := range n.homes.PendingTransfers(live.Home) {
		h.countMessage(home.TransferSize(transfer))
		if to := h.node(transfer.To); to != nil {
			to.homes.Accept(transfer)
			n.homes.Moved(transfer.ID, transfer.To)
		}
	}
}

func (h *homesStrategy) node(id ident.Router) *node {
	for _, n := range append(h.nodes[:len(h.nodes):len(h.nodes)], h.retired...) {
		if n.id == id {
			return n
		}
	}
	return nil
}

// splitViews removes one router from the views of half of the routers for five seconds.
func (h *homesStrategy) splitViews() {
	lost := h.nodes[h.w.rng.IntN(len(h.nodes))].id
	p := h.pool()
	for i, n := range h.nodes {
		if i%2 == 0 && n.id != lost {
			n.unseen = lost
			h.refresh(n, p)
		}
	}
	h.w.schedule(urgentPublishDelay, h.publishUrgent)
	h.w.schedule(5*time.Second, func() {
		p := h.pool()
		for _, n := range h.nodes {
			n.unseen = ""
			h.refresh(n, p)
		}
		h.w.schedule(urgentPublishDelay, h.publishUrgent)
	})
}

// publish sends the loads of a node's homes to their standbys.
func (h *homesStrategy) publish(n *node) {
	var routers []ident.Router
	for _, other := range h.nodes {
		routers = append(routers, other.id)
	}
	for _, p := range n.homes.Publications(h.assignment(h.visibleRouters(n)), h.assignment(routers)) {
		for _, to := range p.To {
			h.bytes += float64(home.DigestSize(p.Digest)) + messageOverhead
			if other := h.node(to); other != nil {
				other.homes.Merge([]place.Digest{p.Digest})
			}
		}
		if p.FullPlaces != nil {
			h.countMessage(home.TransferSize(*p.FullPlaces))
			h.node(p.FullPlaces.To).homes.Accept(*p.FullPlaces)
		}
	}
}

func (h *homesStrategy) choose(w *simulation, r *request) *engine {
	h.choices++
	placement, err := h.nodes[r.router].router.Acquire(context.Background(), route.TargetRequest{
		Service: service, Key: r.chat.key, Work: ident.OneRequest, Deadline: w.now,
	})
	if err != nil {
		return nil
	}
	r.end = placement.Release
	return h.byHash[placement.Hash]
}

func (h *homesStrategy) evicted(_ *simulation, e *engine, c *chat) {
	id := place.ShardID{Pool: ident.NewPool(service, region), Shard: place.ShardOf(e.hash, h.w.shards)}
	for _, n := range h.nodes {
		n.homes.RecordEvictions(id, e.hash, []ident.ChatKey{c.key})
	}
}

func (h *homesStrategy) stats() strategyStats {
	var requested, must, fallback uint64
	for _, n := range h.nodes {
		s := n.router.Stats()
		requested += s.PermitRequests
		must += s.WaitingRequests
		fallback += s.LocalPlacements
	}
	return strategyStats{
		permitRequests: float64(requested) / float64(max(h.choices, 1)), bytes: h.bytes, choices: h.choices,
		note: "must " + percent(must, requested) + ", alone " + percent(fallback, uint64(h.choices)),
	}
}

func percent(part, whole uint64) string {
	if whole == 0 {
		return "0"
	}
	permille := part * 1000 / whole
	return strconv.Itoa(int(permille/10)) + "." + strconv.Itoa(int(permille%10)) + "%"
}

func (h *homesStrategy) countMessage(message int) { h.bytes += float64(message) + messageOverhead }

// network connects the routers by function calls.
type network struct {
	h    *homesStrategy
	self ident.Router
}

// Place requests a permit from a home.
func (n network) Place(ctx context.Context, to ident.Router, req home.PermitRequest, released []uint64) (home.PermitResponse, error) {
	node := n.h.node(to)
	if node == nil {
		return home.PermitResponse{}, fault.New("measure.Place", home.Unreachable, nil)
	}
	resp := node.homes.Place(ctx, req, released)
	if to != req.Edge {
		// A request and its response are two messages.
		n.h.countMessage(home.PermitExchangeSize(req, released, resp) + messageOverhead)
	}
	return resp, nil
}

// Release releases permits at their home.
func (n network) Release(_ context.Context, to ident.Router, id place.ShardID, released []uint64) error {
	n.h.countMessage(len(released)*9 + 12)
	if node := n.h.node(to); node != nil {
		node.homes.Release(id, n.self, released)
	}
	return nil
}

// Sync sends the permits that an edge router holds to a home.
func (n network) Sync(_ context.Context, to ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	n.h.countMessage(len(held) * 16)
	if node := n.h.node(to); node != nil {
		node.homes.Sync(id, n.self, held, upto, from)
	}
	return nil
}

// Withdraw informs an earlier home that the permits of an edge router are counted by another home.
func (n network) Withdraw(_ context.Context, to ident.Router, id place.ShardID, upto uint64) error {
	n.h.countMessage(len(id.Pool) + 20)
	if node := n.h.node(to); node != nil {
		node.homes.Withdraw(id, n.self, upto)
	}
	return nil
}

// Grant returns nothing: rate limits are not measured here.
func (n network) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, nil
}
