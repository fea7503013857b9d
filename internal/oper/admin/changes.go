package admin

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/share/config"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// Check compiles documents together with those in force and returns the problems found.
func (s *Service) Check(_ context.Context, req *connect.Request[peerpb.CheckRequest]) (*connect.Response[peerpb.CheckReply], error) {
	problems := s.Recorder.Check(DecodeDocuments(req.Msg.GetDocuments()))
	return connect.NewResponse(&peerpb.CheckReply{Problems: EncodeProblems(problems)}), nil
}

// Apply records a change, installs it on this router and gossips it to the other routers,
// which then fetch it.
func (s *Service) Apply(ctx context.Context, req *connect.Request[peerpb.ApplyRequest]) (*connect.Response[peerpb.ApplyReply], error) {
	m := req.Msg
	if m.GetChangeId() == "" || len(m.GetDocuments()) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a change needs an id and documents"))
	}
	base := ident.Revision(m.GetBase())
	if base == 0 {
		base = s.Keeper.InForce().Revision
	}
	out, err := s.Recorder.Record(ctx, config.Proposal{
		ID: m.GetChangeId(), Operator: operatorOf(ctx), Note: m.GetNote(), Base: base,
		Documents: DecodeDocuments(m.GetDocuments()),
	})
	reply := &peerpb.ApplyReply{Head: uint64(out.Head), Problems: EncodeProblems(out.Problems)}
	if fault.KindOf[config.Kind](err) == config.Conflict {
		reply.Conflict = true
		reply.Theirs = EncodeDocuments(out.Theirs)
		return connect.NewResponse(reply), nil
	}
	if err != nil {
		return nil, toConnectError(err)
	}
	reply.Revision = uint64(out.Change.Revision)
	if out.Change.Revision > 0 {
		// The result of the poll is ignored: whether or not it reaches the store, the gossiped
		// head leads to the change.
		if s.Keeper.Install([]config.Change{out.Change}) != nil {
			_ = s.Follower.Poll(ctx)
		}
		s.Membership.GossipNow(ctx)
	}
	return connect.NewResponse(reply), nil
}

// toConnectError maps the kind of an error to the status code of the RPC.
func toConnectError(err error) error {
	code := connect.CodeInternal
	switch fault.KindOf[config.Kind](err) {
	case config.Unavailable:
		code = connect.CodeUnavailable
	case config.Unknown:
		code = connect.CodeUnknown
	case config.Behind:
		code = connect.CodeFailedPrecondition
	case config.Invalid:
		code = connect.CodeInvalidArgument
	}
	return connect.NewError(code, err)
}

// minGatherInterval is the minimum time between two gossip rounds for acknowledgements.
const minGatherInterval = 500 * time.Millisecond

// gather runs a round of gossip with some routers to receive outstanding acknowledgements
// sooner, at most once per minGatherInterval.
func (s *Service) gather(ctx context.Context) {
	s.mu.Lock()
	due := s.Clock().Sub(s.lastGather) >= minGatherInterval
	if due {
		s.lastGather = s.Clock()
	}
	s.mu.Unlock()
	if due {
		s.Membership.GossipNow(ctx)
	}
}

// Accepted reports whether a revision is in force on every router.
func (s *Service) Accepted(ctx context.Context, req *connect.Request[peerpb.AcceptedRequest]) (*connect.Response[peerpb.AcceptedReply], error) {
	reply := &peerpb.AcceptedReply{}
	revision := ident.Revision(req.Msg.GetRevision())
	s.Membership.Read(func(v *peer.View) {
		for _, id := range v.Outstanding(revision) {
			reply.Outstanding = append(reply.Outstanding, string(id))
		}
		reply.Routers = uint32(len(v.Routers("")))
	})
	reply.Accepted = len(reply.Outstanding) == 0
	if !reply.Accepted {
		s.gather(ctx)
	}
	return connect.NewResponse(reply), nil
}

// History returns recorded changes, latest first.
func (s *Service) History(ctx context.Context, req *connect.Request[peerpb.HistoryRequest]) (*connect.Response[peerpb.HistoryReply], error) {
	limit := uint64(max(req.Msg.GetLimit(), 1))
	before := req.Msg.GetBefore()
	if before == 0 {
		before = uint64(s.Keeper.InForce().Revision) + 1
	}
	after := before - min(before, limit+1)
	changes, err := s.Recorder.Changes(ctx, ident.Revision(after))
	if err != nil {
		return nil, toConnectError(err)
	}
	reply := &peerpb.HistoryReply{}
	for i := len(changes) - 1; i >= 0; i-- {
		if uint64(changes[i].Revision) < before {
			reply.Changes = append(reply.Changes, EncodeChange(changes[i]))
		}
	}
	return connect.NewResponse(reply), nil
}

// Audit returns the audit log, latest first: who changed which document, and its text before
// and after the change.
func (s *Service) Audit(ctx context.Context, req *connect.Request[peerpb.AuditRequest]) (*connect.Response[peerpb.AuditReply], error) {
	rows, err := s.Recorder.Audit(ctx, ident.Revision(req.Msg.GetBefore()), int(req.Msg.GetLimit()))
	if err != nil {
		return nil, toConnectError(err)
	}
	reply := &peerpb.AuditReply{}
	for _, a := range rows {
		reply.Rows = append(reply.Rows, &peerpb.AuditRow{
			Revision: uint64(a.Revision), Operator: string(a.Operator), UnixMs: a.At.UnixMilli(),
			Document: a.Document.String(), Before: a.Before, After: a.After, Note: a.Note,
		})
	}
	return connect.NewResponse(reply), nil
}
