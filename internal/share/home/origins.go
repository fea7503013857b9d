package home

import (
	"context"

	"connectrpc.com/connect"

	"valescale/internal/plat/ident"
	"valescale/internal/share/origin"
	"valescale/internal/share/peerpb"
)

// PublishOrigins implements origin.Peers. Origins that do not fit into the queue of the link are dropped:
// the router has other keepers.
func (r *Remote) PublishOrigins(to ident.Router, records []origin.Record) {
	l, err := r.links.to(to)
	if err != nil {
		return
	}
	l.enqueue(linkItem{origins: encodeOrigins(records)})
}

// PublishExpected implements origin.Peers.
func (r *Remote) PublishExpected(to ident.Router, record origin.Record) {
	l, err := r.links.to(to)
	if err != nil {
		return
	}
	l.enqueue(linkItem{expected: encodeOrigins([]origin.Record{record})})
}

// FindOrigin implements origin.Peers.
func (r *Remote) FindOrigin(ctx context.Context, to ident.Router, key origin.Key, service ident.Service) (answer origin.Answer, err error) {
	err = r.call(ctx, "home.FindOrigin", to, func(ctx context.Context, client peerpb.PeerServiceClient) error {
		reply, err := client.FindOrigin(ctx, connect.NewRequest(&peerpb.FindOriginRequest{Key: uint64(key), Service: string(service)}))
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			// An earlier release knows no origins. It answers nevertheless, so that this router is not cut off.
			return nil
		}
		if err != nil {
			return err
		}
		answer = decodeAnswer(reply.Msg)
		return nil
	})
	return answer, err
}

// FindOrigin returns what this router knows about a stream.
func (s *Server) FindOrigin(ctx context.Context, req *connect.Request[peerpb.FindOriginRequest]) (*connect.Response[peerpb.FindOriginReply], error) {
	if s.origins == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	answer := s.origins.Answer(ctx, origin.Key(req.Msg.GetKey()), ident.Service(req.Msg.GetService()))
	return connect.NewResponse(encodeAnswer(origin.Key(req.Msg.GetKey()), answer)), nil
}

func encodeOrigins(records []origin.Record) []*peerpb.Origin {
	out := make([]*peerpb.Origin, 0, len(records))
	for _, r := range records {
		out = append(out, &peerpb.Origin{Key: uint64(r.Key), Service: string(r.Service), Version: string(r.Version)})
	}
	return out
}

func decodeOrigins(in []*peerpb.Origin) []origin.Record {
	out := make([]origin.Record, 0, len(in))
	for _, o := range in {
		out = append(out, origin.Record{Key: origin.Key(o.GetKey()), Origin: decodeOrigin(o)})
	}
	return out
}

func decodeOrigin(in *peerpb.Origin) origin.Origin {
	return origin.Origin{Service: ident.Service(in.GetService()), Version: ident.Version(in.GetVersion())}
}

func encodeAnswer(key origin.Key, a origin.Answer) *peerpb.FindOriginReply {
	out := &peerpb.FindOriginReply{Several: a.Several, Complete: a.Complete, Archived: a.Archived}
	if !a.Known {
		return out
	}
	encoded := encodeOrigins([]origin.Record{{Key: key, Origin: a.Origin}})[0]
	if a.Expected {
		out.ExpectedOrigin = encoded
	} else {
		out.Origin = encoded
	}
	return out
}

func decodeAnswer(in *peerpb.FindOriginReply) origin.Answer {
	out := origin.Answer{Several: in.GetSeveral(), Complete: in.GetComplete(), Archived: in.GetArchived()}
	if in.GetExpectedOrigin() != nil {
		out.Origin, out.Known, out.Expected = decodeOrigin(in.GetExpectedOrigin()), true, true
	}
	if in.GetOrigin() != nil {
		out.Origin, out.Known = decodeOrigin(in.GetOrigin()), true
	}
	return out
}
