package home

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// Link serves the permit requests of another router until its stream ends.
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

// session is the server side of a link.
type session struct {
	server  *Server
	ctx     context.Context
	edge    ident.Router
	zone    ident.Zone
	base    uint64
	replies chan *peerpb.PlaceReply
	mu      sync.Mutex
	// cancels are the cancel functions of waiting requests, by permit.
	cancels map[uint64]context.CancelFunc
}

// handle processes a message. Requests that can wait are processed in goroutines.
func (s *session) handle(wg *sync.WaitGroup, message *peerpb.LinkRequest) {
	for _, m := range message.GetReleases() {
		s.server.homes.ReleaseByPoolHash(ident.PoolHash(m.GetPool()), ident.Shard(m.GetShard()), s.edge, offsetPermits(m.GetReleased(), s.base))
	}
	for _, m := range message.GetLoads() {
		s.server.homes.Merge([]place.Digest{decodeDigest(s.edge, s.server.homes.poolByHash(ident.PoolHash(m.GetPool())), m)})
	}
	if s.server.origins != nil && len(message.GetOrigins()) > 0 {
		s.server.origins.Merge(decodeOrigins(message.GetOrigins()))
	}
	if s.server.origins != nil && len(message.GetExpectedOrigins()) > 0 {
		s.server.origins.MergeExpected(decodeOrigins(message.GetExpectedOrigins()))
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

// cancel cancels a waiting request.
func (s *session) cancel(permit uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancels[permit]; ok {
		cancel()
	}
}

// cancellableContext returns a context that the edge router can cancel while its request waits, and
// the function to call once the request no longer waits.
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

// permitRequest decodes a permit request of the session's edge router.
func (s *session) permitRequest(m *peerpb.PlaceRequest) PermitRequest {
	permitRequest := decodePermitRequest(m)
	permitRequest.Edge, permitRequest.Zone = s.edge, s.zone
	permitRequest.Permit += s.base
	permitRequest.Shard.Pool = s.server.homes.poolByHash(ident.PoolHash(m.GetPool()))
	return permitRequest
}

// respond queues the response to a permit request.
func (s *session) respond(permit uint64, resp PermitResponse) {
	m := encodePermitResponse(resp)
	m.Permit = permit - s.base
	select {
	case s.replies <- m:
	case <-s.ctx.Done():
		if resp.Result == Placed {
			// The edge router can no longer receive the response.
			s.server.homes.releaseFromAnyShard(s.edge, permit)
		}
	}
}

// writeReplies sends queued responses in batches.
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

// batchReplies returns a message with the given response and those queued after it.
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
