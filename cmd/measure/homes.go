package main

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

// callOverhead is what one call of a router to another costs beside its message,
// in bytes both ways, as the demo's connections show it; see docs/MEASUREMENTS.md.
const callOverhead = 240

const (
	region      ident.Region  = "region"
	service     ident.Service = "judge"
	gossipEvery               = 500 * time.Millisecond
	rampTime                  = 10 * time.Second
)

// homesWay is way C on the real code: homes that count permits.
type homesWay struct {
	label   string
	bound   place.Bound
	w       *world
	nodes   []*node
	bytes   float64
	asks    int
	choices int
	byHash  map[ident.TargetHash]*engine
	cpu     time.Duration
}

// node is one router's homes, edge and view.
type node struct {
	id     ident.Router
	homes  *home.Homes
	router *route.Router
	view   *peer.View
	// missing is a router that this one believes to be gone.
	missing ident.Router
}

func newHomesWay() *homesWay {
	bound := place.DefaultBound
	bound.Ramp = rampTime
	return &homesWay{label: "C homes", bound: bound, byHash: map[ident.TargetHash]*engine{}}
}

func (h *homesWay) name() string { return h.label }

func (h *homesWay) start(w *world) {
	h.w = w
	clock := func() time.Time { return w.now }
	for _, e := range w.engines {
		h.byHash[e.hash] = e
	}
	for i := range w.routers {
		id := ident.Router("router-" + itoa(i))
		n := &node{id: id}
		n.homes = home.New(id, home.DefaultLimits, clock, func(ident.Workspace) (policy.Workspace, bool) {
			return policy.Workspace{}, false
		})
		n.router = route.New(route.Self{
			ID: id, Region: region, Zone: ident.Zone("zone-" + itoa(i%3)),
			Later: func(d time.Duration, f func()) { w.after(d, f) },
		}, network{h, id}, clock)
		n.view = peer.NewView(w.now, peer.Member{ID: id, Addr: string(id), Region: region, Incarnation: 1}, peer.DefaultLimits)
		h.nodes = append(h.nodes, n)
	}
	h.introduce()
	h.changed(w)
	for i, n := range h.nodes {
		w.after(time.Duration(i)*gossipEvery/time.Duration(len(h.nodes)), func() {
			w.every(gossipEvery, func() { h.gossip(n) })
		})
	}
	if w.disagree {
		w.every(15*time.Second, h.startDisagreement)
	}
}

// introduce makes all routers known to each other, as after a quiet minute.
func (h *homesWay) introduce() {
	for _, a := range h.nodes {
		for _, b := range h.nodes {
			if a != b {
				a.view.Incoming(h.w.now, peer.Digest{From: b.id, Members: []peer.Member{b.view.Self()}})
			}
		}
	}
	for _, n := range h.nodes {
		for range 4 * len(h.nodes) {
			n.view.Outgoing(h.w.now, "", false)
		}
	}
}

// routersOf is who a node believes to be live.
func (h *homesWay) routersOf(n *node) []ident.Router {
	var out []ident.Router
	for _, id := range n.view.Routers(region) {
		if id != n.missing {
			out = append(out, id)
		}
	}
	return out
}

// pool is the pool as all views have it.
func (h *homesWay) pool() route.Pool {
	p := route.Pool{
		Name: ident.NewPool(service, region), Region: region, Targets: map[ident.TargetHash]route.Target{},
		Service: policy.Service{Name: service, Balance: policy.Exact, Shards: h.w.shards, Bound: h.bound.Factor},
	}
	for _, e := range h.w.engines {
		if !e.up {
			continue
		}
		p.Engines = append(p.Engines, place.Engine{
			ID: e.id, Hash: e.hash, Zone: e.zone, Incarnation: e.incarnation, Joined: e.joined,
		})
		p.Targets[e.hash] = route.Target{ID: e.id, Zone: e.zone, Incarnation: e.incarnation}
	}
	return p
}

func (h *homesWay) changed(*world) {
	p := h.pool()
	for _, n := range h.nodes {
		h.refresh(n, p)
	}
}

// refresh does what a router does when its view changes.
func (h *homesWay) refresh(n *node, p route.Pool) {
	routers := h.routersOf(n)
	n.homes.SetPool(p.Name, p.Service.Shards, h.bound, p.Engines)
	n.router.Set(context.Background(), []route.Pool{p}, routers)
	for _, parcel := range n.homes.Misplaced(func(id place.ShardID) ident.Router { return place.HomeOf(id, routers) }) {
		h.count(home.HandoffSize(parcel))
		h.node(parcel.To).homes.Accept(parcel)
		n.homes.Moved(parcel.ID)
	}
}

func (h *homesWay) node(id ident.Router) *node {
	for _, n := range h.nodes {
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
	h.w.after(5*time.Second, func() {
		p := h.pool()
		for _, n := range h.nodes {
			n.missing = ""
			h.refresh(n, p)
		}
	})
}

// gossip exchanges digests with one other router.
func (h *homesWay) gossip(n *node) {
	n.view.Tick(h.w.now)
	other := h.nodes[h.w.rng.IntN(len(h.nodes))]
	if other == n {
		return
	}
	h.tell(n, other)
	h.tell(other, n)
}

func (h *homesWay) tell(from, to *node) {
	for _, d := range from.homes.Digests() {
		from.view.Publish(h.w.now, d)
		from.homes.Merge([]place.Digest{d})
		from.router.Merge([]place.Digest{d})
	}
	d := from.view.Outgoing(h.w.now, to.id, false)
	h.bytes += float64(proto.Size(peer.Encode(d))) + callOverhead/2
	news := to.view.Incoming(h.w.now, d)
	to.homes.Merge(news.Loads)
	to.router.Merge(news.Loads)
}

func (h *homesWay) choose(w *world, r *request) *engine {
	h.choices++
	seat, err := h.nodes[r.router].router.Acquire(context.Background(), route.Ask{
		Service: service, Key: r.chat.key, Work: ident.OneRequest, Deadline: w.now,
	})
	if err != nil {
		return nil
	}
	r.end = seat.Release
	return h.byHash[seat.Hash]
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

func (h *homesWay) count(message int) { h.bytes += float64(message) + callOverhead }

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
		n.h.count(home.PlaceSize(ask, released, answer))
	}
	return answer, nil
}

// Release gives permits back.
func (n network) Release(_ context.Context, to ident.Router, id place.ShardID, released []uint64) error {
	n.h.count(len(released)*8 + len(id.Pool) + 12)
	if node := n.h.node(to); node != nil {
		node.homes.Release(id, n.self, released)
	}
	return nil
}

// Sync tells a home what an edge holds.
func (n network) Sync(_ context.Context, to ident.Router, id place.ShardID, held []place.Permit, upto uint64) error {
	n.h.count(len(held) * 16)
	if node := n.h.node(to); node != nil {
		node.homes.Sync(id, n.self, held, upto)
	}
	return nil
}

// Grant is not measured here.
func (n network) Grant(context.Context, ident.Router, ident.Workspace, int) (int, time.Duration, error) {
	return 0, 0, nil
}
