package home

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// Server answers other routers' calls to the homes here.
type Server struct {
	homes *Homes
}

// NewServer returns a server of the homes.
func NewServer(homes *Homes) *Server { return &Server{homes: homes} }

// Place answers a request for a permit.
func (s *Server) Place(ctx context.Context, req *connect.Request[peerpb.PlaceRequest]) (*connect.Response[peerpb.PlaceReply], error) {
	answer := s.homes.Place(ctx, decodeAsk(req.Msg), req.Msg.GetReleased())
	return connect.NewResponse(encodeAnswer(answer)), nil
}

// Release takes permits back.
func (s *Server) Release(_ context.Context, req *connect.Request[peerpb.ReleaseRequest]) (*connect.Response[peerpb.ReleaseReply], error) {
	m := req.Msg
	s.homes.Release(shardID(m.GetPool(), m.GetShard()), ident.Router(m.GetEdge()), m.GetReleased())
	return connect.NewResponse(&peerpb.ReleaseReply{}), nil
}

// Sync replaces what is believed of an edge's permits.
func (s *Server) Sync(_ context.Context, req *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncReply], error) {
	m := req.Msg
	edge := ident.Router(m.GetEdge())
	s.homes.Sync(shardID(m.GetPool(), m.GetShard()), edge, decodePermits(edge, m.GetPermits()), m.GetUpto())
	return connect.NewResponse(&peerpb.SyncReply{}), nil
}

// Handoff takes over a shard from its earlier home.
func (s *Server) Handoff(_ context.Context, req *connect.Request[peerpb.HandoffRequest]) (*connect.Response[peerpb.HandoffReply], error) {
	m := req.Msg
	parcel := Parcel{ID: shardID(m.GetPool(), m.GetShard()), Permits: decodePermits("", m.GetPermits())}
	for _, c := range m.GetPlaces() {
		parcel.Places = append(parcel.Places, place.ChatPlace{
			Key:         ident.ChatKey(c.GetKey()),
			Engine:      ident.TargetHash(c.GetEngine()),
			Incarnation: ident.Incarnation(c.GetIncarnation()),
			SeenUnix:    c.GetSeenUnixS(),
		})
	}
	s.homes.Accept(parcel)
	return connect.NewResponse(&peerpb.HandoffReply{}), nil
}

// Grant hands out a workspace's tokens.
func (s *Server) Grant(_ context.Context, req *connect.Request[peerpb.GrantRequest]) (*connect.Response[peerpb.GrantReply], error) {
	granted, retryAfter, _ := s.homes.Grant(ident.Workspace(req.Msg.GetWorkspace()), int(req.Msg.GetWant()))
	return connect.NewResponse(&peerpb.GrantReply{Granted: int64(granted), RetryAfterMs: retryAfter.Milliseconds()}), nil
}

func shardID(pool string, shard uint32) place.ShardID {
	return place.ShardID{Pool: ident.Pool(pool), Shard: ident.Shard(shard)}
}

func encodeAsk(a Ask, released []uint64) *peerpb.PlaceRequest {
	avoid := make([]uint32, 0, len(a.Avoid))
	for _, e := range a.Avoid {
		avoid = append(avoid, uint32(e))
	}
	return &peerpb.PlaceRequest{
		Edge:      string(a.Edge),
		Permit:    a.Permit,
		Pool:      string(a.Shard.Pool),
		Shard:     uint32(a.Shard.Shard),
		Key:       uint64(a.Key),
		Workspace: string(a.Workspace),
		Work:      int64(a.Work),
		Priority:  int32(a.Priority),
		Zone:      string(a.Zone),
		WaitMs:    a.Wait.Milliseconds(),
		WaitedMs:  a.Waited.Milliseconds(),
		Must:      a.Must,
		Released:  released,
		Weight:    int32(a.Weight),
		Avoid:     avoid,
		Sums:      encodeSums(a.Sums),
	}
}

func encodeSums(sums []place.Sum) []*peerpb.Sum {
	out := make([]*peerpb.Sum, 0, len(sums))
	for _, s := range sums {
		out = append(out, &peerpb.Sum{Shard: uint32(s.Shard), AgeMs: uint32(s.Age.Milliseconds()), Work: int64(s.Work)})
	}
	return out
}

func decodeSums(in []*peerpb.Sum) []place.Sum {
	out := make([]place.Sum, 0, len(in))
	for _, s := range in {
		out = append(out, place.Sum{
			Shard: ident.Shard(s.GetShard()), Age: time.Duration(s.GetAgeMs()) * time.Millisecond, Work: ident.Work(s.GetWork()),
		})
	}
	return out
}

func decodeAsk(m *peerpb.PlaceRequest) Ask {
	var avoid []ident.TargetHash
	for _, e := range m.GetAvoid() {
		avoid = append(avoid, ident.TargetHash(e))
	}
	return Ask{
		Request: place.Request{
			Edge:   ident.Router(m.GetEdge()),
			Permit: m.GetPermit(),
			Key:    ident.ChatKey(m.GetKey()),
			Work:   ident.Work(max(m.GetWork(), 1)),
			Zone:   ident.Zone(m.GetZone()),
			Must:   m.GetMust(),
			Avoid:  avoid,
		},
		Shard:     shardID(m.GetPool(), m.GetShard()),
		Workspace: ident.Workspace(m.GetWorkspace()),
		Weight:    int(m.GetWeight()),
		Priority:  int(m.GetPriority()),
		Wait:      time.Duration(m.GetWaitMs()) * time.Millisecond,
		Waited:    time.Duration(m.GetWaitedMs()) * time.Millisecond,
		Sums:      decodeSums(m.GetSums()),
	}
}

func encodeAnswer(a Answer) *peerpb.PlaceReply {
	return &peerpb.PlaceReply{
		Result:       peerpb.PlaceResult(a.Result),
		Engine:       uint32(a.Engine),
		Warm:         a.Warm,
		RetryAfterMs: a.RetryAfter.Milliseconds(),
		Held:         uint32(a.Held),
		Work:         int64(a.Work),
	}
}

func decodeAnswer(m *peerpb.PlaceReply) Answer {
	return Answer{
		Result:     Result(m.GetResult()),
		Engine:     ident.TargetHash(m.GetEngine()),
		Warm:       m.GetWarm(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Held:       int(m.GetHeld()),
		Work:       ident.Work(m.GetWork()),
	}
}

func encodePermits(permits []place.Permit) []*peerpb.Permit {
	out := make([]*peerpb.Permit, 0, len(permits))
	for _, p := range permits {
		out = append(out, &peerpb.Permit{Id: p.ID, Engine: uint32(p.Engine), Work: int64(p.Work), Edge: string(p.Edge)})
	}
	return out
}

// decodePermits reads permits; an edge that is given overrules what they say.
func decodePermits(edge ident.Router, permits []*peerpb.Permit) []place.Permit {
	out := make([]place.Permit, 0, len(permits))
	for _, p := range permits {
		owner := edge
		if owner == "" {
			owner = ident.Router(p.GetEdge())
		}
		out = append(out, place.Permit{
			Edge: owner, ID: p.GetId(), Engine: ident.TargetHash(p.GetEngine()), Work: ident.Work(max(p.GetWork(), 0)),
		})
	}
	return out
}
