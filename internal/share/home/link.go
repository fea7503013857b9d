package home

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// A link is one stream to another router, over which this router asks for permits
// and returns them. Calls of their own would cost several times the bytes: what a
// permit says is small, and what HTTP adds to each call is not.
type link struct {
	cancel context.CancelFunc
	out    chan linkItem
	done   chan struct{}
	mu     sync.Mutex
	// waiting are the requests without an answer, by permit.
	waiting map[uint64]chan Answer
	closed  bool
	// base is taken off permits as they are written and added as they are read.
	base uint64
	// missed counts the answers in a row that did not come in time.
	missed int
}

// linkItem is one thing to be sent; exactly one field is set.
type linkItem struct {
	place   *peerpb.PlaceRequest
	release *peerpb.ReleaseRequest
	load    *peerpb.ShardLoad
	cancel  uint64
}

const (
	// linkBacklog bounds what waits to be sent; more than that means a dead link.
	linkBacklog = 1024
	// linkBatch bounds what one message carries.
	linkBatch = 64
)

// Edge is what a router says of itself once on each link.
type Edge struct {
	ID   ident.Router
	Zone ident.Zone
	// Base is below all permits that this process will ask for.
	Base uint64
}

// openLink starts a link; ended is called once it has broken.
func openLink(client peerpb.PeerServiceClient, self Edge, ended func(*link)) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		cancel: cancel, out: make(chan linkItem, linkBacklog), done: make(chan struct{}),
		waiting: map[uint64]chan Answer{}, base: self.Base,
	}
	stream := client.Link(ctx)
	go l.send(stream, self)
	go func() {
		l.receive(stream)
		cancel()
		l.fail()
		ended(l)
	}()
	return l
}

// send writes what is queued, as much as fits in one message at a time.
func (l *link) send(stream *connect.BidiStreamForClient[peerpb.LinkRequest, peerpb.LinkReply], self Edge) {
	defer func() { _ = stream.CloseRequest() }()
	hello := &peerpb.LinkRequest{Edge: string(self.ID), Base: self.Base, Zone: string(self.Zone)}
	for {
		select {
		case <-l.done:
			return
		case first := <-l.out:
			message := hello
			hello = &peerpb.LinkRequest{}
			l.gather(message, first)
			if stream.Send(message) != nil {
				l.cancel()
				return
			}
		}
	}
}

func (l *link) gather(message *peerpb.LinkRequest, item linkItem) {
	for n := 1; ; n++ {
		switch {
		case item.place != nil:
			message.Places = append(message.Places, item.place)
		case item.release != nil:
			message.Releases = append(message.Releases, item.release)
		case item.load != nil:
			message.Loads = append(message.Loads, item.load)
		default:
			message.Cancels = append(message.Cancels, item.cancel)
		}
		if n == linkBatch {
			return
		}
		select {
		case item = <-l.out:
		default:
			return
		}
	}
}

func (l *link) receive(stream *connect.BidiStreamForClient[peerpb.LinkRequest, peerpb.LinkReply]) {
	for {
		reply, err := stream.Receive()
		if err != nil {
			return
		}
		for _, m := range reply.GetPlaces() {
			l.deliver(m.GetPermit()+l.base, decodeAnswer(m))
		}
	}
}

func (l *link) deliver(permit uint64, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed = 0
	if ch, ok := l.waiting[permit]; ok {
		delete(l.waiting, permit)
		ch <- a
	}
}

// maxMissed is how many answers in a row may be missing before a link counts as dead.
const maxMissed = 2

// miss notes an answer that did not come in time and reports whether the link is dead.
func (l *link) miss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed++
	return l.missed >= maxMissed
}

// fail ends all that waits, since no answer will come.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.done)
	for permit, ch := range l.waiting {
		delete(l.waiting, permit)
		close(ch)
	}
}

// post queues something and reports whether there was room.
func (l *link) post(item linkItem) bool {
	select {
	case l.out <- item:
		return true
	default:
		return false
	}
}

// shift adds an offset to permits; a negative one is its two's complement.
func shift(permits []uint64, by uint64) []uint64 {
	out := make([]uint64, len(permits))
	for i, p := range permits {
		out[i] = p + by
	}
	return out
}

// release gives permits back.
func (l *link) release(id place.ShardID, released []uint64) {
	l.post(linkItem{release: &peerpb.ReleaseRequest{
		Pool: uint32(id.Pool.Hash()), Shard: uint32(id.Shard), Released: shift(released, -l.base),
	}})
}

// place asks for a permit and waits for the answer.
func (l *link) place(ctx context.Context, ask Ask, released []uint64) (Answer, error) {
	const op = "home.Place"
	ch := make(chan Answer, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return Answer{}, fault.New(op, Unreachable, nil)
	}
	l.waiting[ask.Permit] = ch
	l.mu.Unlock()
	if !l.post(linkItem{place: encodeAsk(ask, released, l.base)}) {
		l.forget(ask.Permit)
		return Answer{}, fault.New(op, Unreachable, nil)
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return Answer{}, fault.New(op, Unreachable, nil)
		}
		return a, nil
	case <-ctx.Done():
		l.forget(ask.Permit)
		l.post(linkItem{cancel: ask.Permit - l.base})
		return Answer{}, fault.New(op, Unreachable, ctx.Err())
	}
}

func (l *link) forget(permit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, permit)
}

// links keeps one link to each home.
type links struct {
	self    Edge
	clients Clients
	mu      sync.Mutex
	open    map[ident.Router]*link
}

func newLinks(self Edge, clients Clients) *links {
	return &links{self: self, clients: clients, open: map[ident.Router]*link{}}
}

// to returns the link to a home, opened if need be.
func (ls *links) to(home ident.Router) (*link, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, ok := ls.open[home]; ok {
		return l, nil
	}
	client, err := ls.clients.Client(home)
	if err != nil {
		return nil, fault.New("home.link", Unreachable, err)
	}
	l := openLink(client, ls.self, func(gone *link) {
		ls.mu.Lock()
		defer ls.mu.Unlock()
		if ls.open[home] == gone {
			delete(ls.open, home)
		}
	})
	ls.open[home] = l
	return l, nil
}

// drop ends the link to a home that does not answer, so that the next request
// opens a new one.
func (ls *links) drop(home ident.Router) {
	ls.mu.Lock()
	l, ok := ls.open[home]
	delete(ls.open, home)
	ls.mu.Unlock()
	if ok {
		l.cancel()
	}
}

// close ends all links.
func (ls *links) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for home, l := range ls.open {
		delete(ls.open, home)
		l.cancel()
	}
}

// Link answers another router's requests for permits until its stream ends.
func (s *Server) Link(ctx context.Context, stream *connect.BidiStream[peerpb.LinkRequest, peerpb.LinkReply]) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	session := &session{server: s, ctx: ctx, replies: make(chan *peerpb.PlaceReply, linkBacklog), cancels: map[uint64]context.CancelFunc{}}
	wg.Go(func() { session.reply(stream, cancel) })
	for {
		message, err := stream.Receive()
		if err != nil {
			return nil
		}
		if session.edge == "" {
			session.edge = ident.Router(message.GetEdge())
			session.zone = ident.Zone(message.GetZone())
			session.base = message.GetBase()
			if err := s.checkEdge(ctx, session.edge); err != nil {
				return err
			}
		}
		session.take(&wg, message)
	}
}

// session is the home's side of one link.
type session struct {
	server  *Server
	ctx     context.Context
	edge    ident.Router
	zone    ident.Zone
	base    uint64
	replies chan *peerpb.PlaceReply
	mu      sync.Mutex
	// cancels end the waiting of requests, by permit.
	cancels map[uint64]context.CancelFunc
}

func (s *session) take(wg *sync.WaitGroup, message *peerpb.LinkRequest) {
	for _, m := range message.GetReleases() {
		s.server.homes.ReleaseAt(ident.PoolHash(m.GetPool()), ident.Shard(m.GetShard()), s.edge, shift(m.GetReleased(), s.base))
	}
	for _, m := range message.GetLoads() {
		s.server.homes.Merge([]place.Digest{decodeLoad(s.edge, s.server.homes.poolName(ident.PoolHash(m.GetPool())), m)})
	}
	for _, permit := range message.GetCancels() {
		s.mu.Lock()
		if cancel, ok := s.cancels[permit+s.base]; ok {
			cancel()
		}
		s.mu.Unlock()
	}
	for _, m := range message.GetPlaces() {
		ask := s.ask(m)
		released := shift(m.GetReleased(), s.base)
		if ask.Wait <= 0 {
			s.answer(ask.Permit, s.server.homes.Place(s.ctx, ask, released))
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		s.mu.Lock()
		s.cancels[ask.Permit] = cancel
		s.mu.Unlock()
		wg.Go(func() {
			a := s.server.homes.Place(ctx, ask, released)
			s.mu.Lock()
			delete(s.cancels, ask.Permit)
			s.mu.Unlock()
			cancel()
			s.answer(ask.Permit, a)
		})
	}
}

// ask reads a request for a permit in the edge's name.
func (s *session) ask(m *peerpb.PlaceRequest) Ask {
	ask := decodeAsk(m)
	ask.Edge, ask.Zone = s.edge, s.zone
	ask.Permit += s.base
	ask.Shard.Pool = s.server.homes.poolName(ident.PoolHash(m.GetPool()))
	return ask
}

func (s *session) answer(permit uint64, a Answer) {
	m := encodeAnswer(a)
	m.Permit = permit - s.base
	select {
	case s.replies <- m:
	case <-s.ctx.Done():
		if a.Result == Placed {
			// Nobody can learn of the permit any more.
			s.server.homes.dropPermit(s.edge, permit)
		}
	}
}

// reply writes answers, as many as are there in one message.
func (s *session) reply(stream *connect.BidiStream[peerpb.LinkRequest, peerpb.LinkReply], cancel context.CancelFunc) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.replies:
			message := &peerpb.LinkReply{Places: []*peerpb.PlaceReply{first}}
			for more := true; more && len(message.Places) < linkBatch; {
				select {
				case next := <-s.replies:
					message.Places = append(message.Places, next)
				default:
					more = false
				}
			}
			if stream.Send(message) != nil {
				cancel()
				return
			}
		}
	}
}

// unnamed is the pool of a request for a pool that is not known here.
const unnamed ident.Pool = ""

// poolName returns the name of a pool by its hash.
func (h *Homes) poolName(hash ident.PoolHash) ident.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name, ok := h.names[hash]; ok {
		return name
	}
	return unnamed
}

// ReleaseAt gives permits back to a shard of a pool known by its hash.
func (h *Homes) ReleaseAt(hash ident.PoolHash, shard ident.Shard, edge ident.Router, released []uint64) {
	h.Release(place.ShardID{Pool: h.poolName(hash), Shard: shard}, edge, released)
}

// dropPermit gives back a permit of any shard.
func (h *Homes) dropPermit(edge ident.Router, permit uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.shards {
		h.release(s, edge, []uint64{permit})
	}
}
