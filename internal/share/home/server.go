package home

import (
	"context"

	"connectrpc.com/connect"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/share/origin"
	"valescale/internal/share/peerpb"
)

// Server serves other routers' calls to the homes of this router.
type Server struct {
	homes   *Homes
	origins Origins
	// identify returns the router that made a call, or the empty id when connections are not
	// authenticated.
	identify func(context.Context) ident.Router
}

// Origins holds the origins of streams of which this router is a keeper.
type Origins interface {
	// Merge records origins that another router has published.
	Merge(records []origin.Record)
	// MergeExpected records origins of streams that another router expects to begin.
	MergeExpected(records []origin.Record)
	// Answer returns what this router knows about a stream of a service. It may wait for the store.
	Answer(ctx context.Context, key origin.Key, service ident.Service) origin.Answer
}

// NewServer returns a Server for the given homes and origins. The origins may be nil.
func NewServer(homes *Homes, origins Origins, identify func(context.Context) ident.Router) *Server {
	return &Server{homes: homes, origins: origins, identify: identify}
}

// checkEdge rejects a call in which a router uses the id of another.
func (s *Server) checkEdge(ctx context.Context, edge ident.Router) error {
	if caller := s.identify(ctx); caller != "" && caller != edge {
		return connect.NewError(connect.CodePermissionDenied, fault.Newf("home.Server", Foreign, "router %s sent a request in the name of router %s", caller, edge))
	}
	return nil
}

// Sync replaces or withdraws the permits of an edge router.
func (s *Server) Sync(ctx context.Context, req *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncReply], error) {
	m := req.Msg
	edge := ident.Router(m.GetEdge())
	if err := s.checkEdge(ctx, edge); err != nil {
		return nil, err
	}
	if m.GetWithdraw() {
		s.homes.Withdraw(shardID(m.GetPool(), m.GetShard()), edge, m.GetUpto())
		return connect.NewResponse(&peerpb.SyncReply{}), nil
	}
	s.homes.Sync(shardID(m.GetPool(), m.GetShard()), edge, decodePermits(edge, m.GetPermits()), m.GetUpto(), ident.Router(m.GetFrom()))
	return connect.NewResponse(&peerpb.SyncReply{}), nil
}

// Handoff accepts a transfer of chat places.
func (s *Server) Handoff(ctx context.Context, req *connect.Request[peerpb.HandoffRequest]) (*connect.Response[peerpb.HandoffReply], error) {
	m := req.Msg
	if err := s.checkEdge(ctx, ident.Router(m.GetFrom())); err != nil {
		return nil, err
	}
	s.homes.Accept(Transfer{
		ID: shardID(m.GetPool(), m.GetShard()), Places: decodePlaces(m.GetPlaces()), Replica: m.GetReplica(),
	})
	return connect.NewResponse(&peerpb.HandoffReply{}), nil
}

// Grant grants tokens of a workspace.
func (s *Server) Grant(_ context.Context, req *connect.Request[peerpb.GrantRequest]) (*connect.Response[peerpb.GrantReply], error) {
	granted, retryAfter, _ := s.homes.Grant(ident.Workspace(req.Msg.GetWorkspace()), int(req.Msg.GetWant()))
	return connect.NewResponse(&peerpb.GrantReply{Granted: int64(granted), RetryAfterMs: retryAfter.Milliseconds()}), nil
}
