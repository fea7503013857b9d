package home

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// Link answers another router's requests for permits until its stream ends.
func (s *Server) Link(ctx context.Context, stream *connect.BidiStream[peerpb.LinkRequest, peerpb.LinkReply]) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	session := &session{server: s, ctx: ctx, replies: make(chan *peerpb.PlaceReply, maxLinkQueue), cancels: map[uint64]context.CancelFunc{}}
	wg.Go(func() { session.writeReplies(stream, cancel) })
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
		session.handle(&wg, message)
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

// take does what a message asks for; requests that can wait are answered later.
func (s *session) handle(wg *sync.WaitGroup, message *peerpb.LinkRequest) {
	for _, m := range message.GetReleases() {
		s.server.homes.ReleaseByPoolHash(ident.PoolHash(m.GetPool()), ident.Shard(m.GetShard()), s.edge, offsetPermits(m.GetReleased(), s.base))
	}
	for _, m := range message.GetLoads() {
		s.server.homes.Merge([]place.Digest{decodeDigest(s.edge, s.server.homes.poolByHash(ident.PoolHash(m.GetPool())), m)})
	}
	for _, permit := range message.GetCancels() {
		s.cancel(permit + s.base)
	}
	for _, m := range message.GetPlaces() {
		permitRequest := s.permitRequest(m)
		released := offsetPermits(m.GetReleased(), s.base)
		if permitRequest.Wait <= 0 {
			s.respond(permitRequest.Permit, s.server.homes.Place(s.ctx, permitRequest, released))
			continue
		}
		ctx, done := s.cancellableContext(permitRequest.Permit)
		wg.Go(func() {
			resp := s.server.homes.Place(ctx, permitRequest, released)
			done()
			s.respond(permitRequest.Permit, resp)
		})
	}
}

// cancel ends the waiting of a request.
func (s *session) cancel(permit uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancels[permit]; ok {
		cancel()
	}
}

// cancellable returns a context for the waiting of a request that the edge can end, and
// the function to call once it waits no more.
func (s *session) cancellableContext(permit uint64) (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[permit] = cancel
	return ctx, func() {
		s.mu.Lock()
		delete(s.cancels, permit)
		s.mu.Unlock()
		cancel()
	}
}

// ask reads a request for a permit in the edge's name.
func (s *session) permitRequest(m *peerpb.PlaceRequest) Ask {
	permitRequest := decodePermitRequest(m)
	permitRequest.Edge, permitRequest.Zone = s.edge, s.zone
	permitRequest.Permit += s.base
	permitRequest.Shard.Pool = s.server.homes.poolByHash(ident.PoolHash(m.GetPool()))
	return permitRequest
}

// answer queues the answer to a request for a permit.
func (s *session) respond(permit uint64, resp Answer) {
	m := encodePermitResponse(resp)
	m.Permit = permit - s.base
	select {
	case s.replies <- m:
	case <-s.ctx.Done():
		if resp.Result == Placed {
			// Nobody can learn of the permit any more.
			s.server.homes.releaseFromAnyShard(s.edge, permit)
		}
	}
}

// reply writes answers, as many as are there in one message.
func (s *session) writeReplies(stream *connect.BidiStream[peerpb.LinkRequest, peerpb.LinkReply], cancel context.CancelFunc) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.replies:
			if stream.Send(s.batchReplies(first)) != nil {
				cancel()
				return
			}
		}
	}
}

// gather puts an answer and those that are there after it into one message.
func (s *session) batchReplies(first *peerpb.PlaceReply) *peerpb.LinkReply {
	message := &peerpb.LinkReply{Places: []*peerpb.PlaceReply{first}}
	for len(message.Places) < maxLinkBatch {
		select {
		case next := <-s.replies:
			message.Places = append(message.Places, next)
		default:
			return message
		}
	}
	return message
}
