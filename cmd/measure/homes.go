package main

import (
	"context"
	"fmt"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

// messageOverhead is what one message on a link costs beside itself: an HTTP/2
// frame, connect's envelope, and the headers of IP and TCP, in bytes.
const messageOverhead = 9 + 5 + 52

const (
	region       ident.Region  = "region"
	service      ident.Service = "judge"
	publishEvery               = time.Second
	publishSoon                = 10 * time.Millisecond
	rampTime                   = 10 * time.Second
)

// homesWay is way C on the real code: homes that count permits.
type homesWay struct {
	label   string
	bound   place.Bound
	w       *world
	nodes   []*node
	bytes   float64
	choices int
	byHash  map[ident.TargetHash]*engine
	// assignments are kept, since views change seldom.
	assignments map[string]*place.Assignment
	// retired routers have left as planned and end what they have in flight.
	retired  []*node
	renewals int
}

// node is one router's homes and edge.
type node struct {
	id     ident.Router
	homes  *home.Homes
	router *route.Router
	// missing is a router that this one believes to be gone.
	missing ident.Router
}

func newHomesWay() *homesWay {
	bound := place.DefaultBound
	bound.Ramp = rampTime
	return &homesWay{label: "C homes", bound: bound, byHash: map[ident.TargetHash]*engine{}, assignments: map[string]*place.Assignment{}}
}

func (h *homesWay) name() string { return h.label }

func (h *homesWay) start(w *world) {
	h.w = w
	for _, e := range w.engines {
		h.byHash[e.hash] = e
	}
	for i := range w.routers {
		h.nodes = append(h.nodes, h.newNode(i, ident.Router("router-"+itoa(i))))
	}
	h.changed(w)
	for i := range h.nodes {
		w.after(time.Duration(i)*publishEvery/time.Duration(len(h.nodes)), func() {
			w.every(publishEvery, func() { h.publish(h.nodes[i]) })
		})
	}
	if w.disagree {
		w.every(15*time.Second, h.startDisagreement)
	}
	if w.replace {
		third := len(h.nodes) / 3
		for i := range third {
			w.after(w.run/2+w.run/4*time.Duration(i)/time.Duration(third), func() { h.stopPlanned(i) })
		}
	}
	if w.crash {
		w.every(20*time.Second, func() { h.crash(w.rng.IntN(len(h.nodes))) })
	}
}

// renewed returns a fresh router in the place of one that has gone.
func (h *homesWay) renewed(i int) *node {
	h.renewals++
	return h.newNode(i, ident.Router("router-"+itoa(i)+"-"+itoa(h.renewals)))
}

// stopPlanned replaces a router that leaves in order: the others learn of it and of
// the new one at once, and its homes hand over what they have. Requests that it has
// in flight end as usual.
func (h *homesWay) stopPlanned(i int) {
	old := h.nodes[i]
	h.nodes[i] = h.renewed(i)
	h.retired = append(h.retired, old)
	p := h.pool()
	for _, n := range h.nodes {
		h.refresh(n, p)
	}
	h.refresh(old, p)
	h.w.after(publishSoon, h.publishUrgent)
}

// crash replaces a router without notice. Its requests in flight are lost; the
// others notice after detectTime, and drop what it held.
func (h *homesWay) crash(i int) {
	old := h.nodes[i]
	h.nodes[i] = h.renewed(i)
	for _, e := range h.w.engines {
		for _, r := range e.inOrder() {
			if r.router == i {
				h.w.finish(r)
			}
		}
	}
	h.w.after(suspectTime, func() {
		p := h.pool()
		for _, n := range h.nodes {
			n.homes.Doubt([]ident.Router{old.id})
			h.refresh(n, p)
		}
		h.w.after(publishSoon, h.publishUrgent)
	})
	h.w.after(deadTime, func() {
		for _, n := range h.nodes {
			n.homes.Doubt(nil)
			n.homes.Forget(map[ident.Router]uint64{old.id: ^uint64(0)})
		}
	})
}

// After a crash an exchange fails within suspectTime, and the others pass the router
// over; after deadTime it is held dead, and what it held is dropped.
const (
	suspectTime = time.Second
	deadTime    = 4 * time.Second
)

// newNode makes the router in a place of the fleet.
func (h *homesWay) newNode(i int, id ident.Router) *node {
	clock := func() time.Time { return h.w.now }
	n := &node{id: id}
	n.homes = home.New(id, home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
	n.router = route.New(route.Self{
		ID: id, Region: region, Zone: ident.Zone("zone-" + itoa(i%3)),
		AfterFunc: func(d time.Duration, f func()) { h.w.after(d, f) },
	}, network{h, id}, clock)
	return n
}

// assigned is the assignment of the pool's shards among routers.
func (h *homesWay) assigned(routers []ident.Router) *place.Assignment {
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

// routersOf is who a node believes to be live.
func (h *homesWay) routersOf(n *node) []ident.Router {
	var out []ident.Router
	for _, other := range h.nodes {
		if other.id != n.missing {
			out = append(out, other.id)
		}
	}
	return out
}

// pool is the pool as all views have it.
func (h *homesWay) pool() route.Pool {
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

func (h *homesWay) changed(*world) {
	p := h.pool()
	for _, n := range h.nodes {
		h.refresh(n, p)
	}
	h.w.after(publishSoon, h.publishUrgent)
}

// publishUrgent publishes what some homes have in a hurry.
func (h *homesWay) publishUrgent() {
	for _, n := range h.nodes {
		select {
		case <-n.homes.Urgent():
			h.publish(n)
		default:
		}
	}
}

// refresh does what a router does when its view changes.
func (h *homesWay) refresh(n *node, p route.Pool) {
	live := h.assigned(h.routersOf(n))
	n.homes.SetPool(p.Name, h.bound, p.Roster)
	n.router.Move(context.Background(), n.router.Set([]route.Pool{p}, live))
	for _, transfer := range n.homes.Misplaced(live.Home) {
		h.count(home.HandoffSize(transfer))
		if to := h.node(transfer.To); to != nil {
			to.homes.Accept(transfer)
			n.homes.Moved(transfer.ID, transfer.To)
		}
	}
}

func (h *homesWay) node(id ident.Router) *node {
	for _, n := range append(h.nodes[:len(h.nodes):len(h.nodes)], h.retired...) {
		if n.id == id {
			return n
		}
	}
	return nil
}

// startDisagreement makes half of the routers miss one for five seconds.
func (h *homesWay) startDisagreement() {
	lost := h.nodes[h.w.rng.IntN(len(h.nodes))].id
	p := h.pool()
	for i, n := range h.nodes {
		if i%2 == 0 && n.id != lost {
			n.missing = lost
			h.refresh(n, p)
		}
	}
	h.w.after(publishSoon, h.publishUrgent)
	h.w.after(5*time.Second, func() {
		p := h.pool()
		for _, n := range h.nodes {
			n.missing = ""
			h.refresh(n, p)
		}
		h.w.after(publishSoon, h.publishUrgent)
	})
}

// publish tells the routers next in line what a node's homes count.
func (h *homesWay) publish(n *node) {
	var routers []ident.Router
	for _, other := range h.nodes {
		routers = append(routers, other.id)
	}
	for _, p := range n.homes.Publications(h.assigned(h.routersOf(n)), h.assigned(routers)) {
		for _, to := range p.To {
			h.bytes += float64(home.LoadSize(p.Digest)) + messageOverhead
			if other := h.node(to); other != nil {
				other.homes.Merge([]place.Digest{p.Digest})
			}
		}
		if p.Whole != nil {
			h.count(home.HandoffSize(*p.Whole))
			h.node(p.Whole.To).homes.Accept(*p.Whole)
		}
	}
}

func (h *homesWay) choose(w *world, r *request) *engine {
	h.choices++
	placement, err := h.nodes[r.router].router.Acquire(context.Background(), route.Ask{
		Service: service, Key: r.chat.key, Work: ident.OneRequest, Deadline: w.now,
	})
	if err != nil {
		return nil
	}
	r.end = placement.Release
	return h.byHash[placement.Hash]
}

func (h *homesWay) evicted(_ *world, e *engine, c *chat) {
	id := place.ShardID{Pool: ident.NewPool(service, region), Shard: place.ShardOf(e.hash, h.w.shards)}
	for _, n := range h.nodes {
		n.homes.Evicted(id, e.hash, []ident.ChatKey{c.key})
	}
}

func (h *homesWay) stats() wayStats {
	var asked, must, fallback uint64
	for _, n := range h.nodes {
		s := n.router.Stats()
		asked += s.Asked
		must += s.Must
		fallback += s.Fallback
	}
	return wayStats{
		asks: float64(asked) / float64(max(h.choices, 1)), bytes: h.bytes, choices: h.choices,
		note: "must " + percent(must, asked) + ", alone " + percent(fallback, uint64(h.choices)),
	}
}

func percent(part, whole uint64) string {
	if whole == 0 {
		return "0"
	}
	permille := part * 1000 / whole
	return itoa(int(permille/10)) + "." + itoa(int(permille%10)) + "%"
}

func (h *homesWay) count(message int) { h.bytes += float64(message) + messageOverhead }

// network is calls between routers without a wire.
type network struct {
	h    *homesWay
	self ident.Router
}

// Place asks a home for a permit.
func (n network) Place(ctx context.Context, to ident.Router, ask home.Ask, released []uint64) (home.Answer, error) {
	node := n.h.node(to)
	if node == nil {
		return home.Answer{}, fault.New("measure.Place", home.Unreachable, nil)
	}
	answer := node.homes.Place(ctx, ask, released)
	if to != ask.Edge {
		// A request and its answer are two messages.
		n.h.count(home.PlaceSize(ask, released, answer) + messageOverhead)
	}
	return answer, nil
}

// Release gives permits back.
func (n network) Release(_ context.Context, to ident.Router, id place.ShardID, released []uint64) error {
	n.h.count(len(released)*9 + 12)
	if node := n.h.node(to); node != nil {
		node.homes.Release(id, n.self, released)
	}
	return nil
}

// Sync tells a home what an edge holds.
func (n network) Sync(_ context.Context, to ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	n.h.count(len(held) * 16)
	if node := n.h.node(to); node != nil {
		node.homes.Sync(id, n.self, held, upto, from)
	}
	return nil
}

// Withdraw tells an earlier home that an edge's permits are counted elsewhere.
func (n network) Withdraw(_ context.Context, to ident.Router, id place.ShardID, upto uint64) error {
	n.h.count(len(id.Pool) + 20)
	if node := n.h.node(to); node != nil {
		node.homes.Withdraw(id, n.self, upto)
	}
	return nil
}

// Grant is not measured here.
func (n network) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, nil
}
