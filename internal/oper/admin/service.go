package admin

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// Views gives looks at what this router knows of the others.
type Views interface {
	Read(look func(*peer.View))
	Tell(ctx context.Context)
}

// Status is what a router says of itself.
type Status struct {
	Ready   bool
	StoreUp bool
	Engines []EngineStatus
}

// EngineStatus is one engine as its home counts it.
type EngineStatus struct {
	ID       ident.Target
	Pool     ident.Pool
	Zone     ident.Zone
	State    string
	InFlight int
}

// Parts are what the service works with.
type Parts struct {
	Self      ident.Router
	Operators map[policy.TokenHash]string
	Keeper    *config.Keeper
	Recorder  *config.Recorder
	Follower  *config.Follower
	Views     Views
	Shadow    *Shadow
	Claims    claim.Store
	Clock     ident.Clock
	Status    func() Status
}

// Service answers operators' commands.
type Service struct {
	Parts
	mu sync.Mutex
	// asked is when routers were last asked for acknowledgements.
	asked time.Time
}

// New returns a service.
func New(parts Parts) *Service { return &Service{Parts: parts} }

type operatorKey struct{}

// Authenticate returns an interceptor that lets in known operators only.
func (s *Service) Authenticate() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			scheme, token, _ := strings.Cut(req.Header().Get("Authorization"), " ")
			name, ok := s.Operators[policy.HashToken(token)]
			if !ok || !strings.EqualFold(scheme, "bearer") {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no known operator's token"))
			}
			return next(context.WithValue(ctx, operatorKey{}, config.Operator(name)), req)
		}
	}
}

func operatorOf(ctx context.Context) config.Operator {
	name, _ := ctx.Value(operatorKey{}).(config.Operator)
	return name
}

// Check compiles documents together with those in force.
func (s *Service) Check(_ context.Context, req *connect.Request[peerpb.CheckRequest]) (*connect.Response[peerpb.CheckReply], error) {
	problems := s.Recorder.Check(DecodeDocuments(req.Msg.GetDocuments()))
	return connect.NewResponse(&peerpb.CheckReply{Problems: encodeProblems(problems)}), nil
}

// Apply records a change and puts it in force here; the others follow.
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
	reply := &peerpb.ApplyReply{Head: uint64(out.Head), Problems: encodeProblems(out.Problems)}
	if fault.KindOf[config.Kind](err) == config.Conflict {
		reply.Conflict = true
		reply.Theirs = EncodeDocuments(out.Theirs)
		return connect.NewResponse(reply), nil
	}
	if err != nil {
		return nil, asConnect(err)
	}
	reply.Revision = uint64(out.Change.Revision)
	if out.Change.Revision > 0 {
		// Whether or not this poll reaches the store, the head that others hear of does it.
		if s.Keeper.Install([]config.Change{out.Change}) != nil {
			_ = s.Follower.Poll(ctx)
		}
		s.Views.Tell(ctx)
	}
	return connect.NewResponse(reply), nil
}

// asConnect keeps what a failure means across the wire.
func asConnect(err error) error {
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

// askAround is the least time between two rounds of asking for acknowledgements.
const askAround = 500 * time.Millisecond

// gather asks some routers what they know, since somebody waits for acknowledgements.
func (s *Service) gather(ctx context.Context) {
	s.mu.Lock()
	due := s.Clock().Sub(s.asked) >= askAround
	if due {
		s.asked = s.Clock()
	}
	s.mu.Unlock()
	if due {
		s.Views.Tell(ctx)
	}
}

// Accepted tells whether a revision is in force on every router.
func (s *Service) Accepted(ctx context.Context, req *connect.Request[peerpb.AcceptedRequest]) (*connect.Response[peerpb.AcceptedReply], error) {
	reply := &peerpb.AcceptedReply{}
	revision := ident.Revision(req.Msg.GetRevision())
	s.Views.Read(func(v *peer.View) {
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

// Show returns documents in force; empty kind and name mean all.
func (s *Service) Show(_ context.Context, req *connect.Request[peerpb.ShowRequest]) (*connect.Response[peerpb.ShowReply], error) {
	now := s.Keeper.Documents()
	var chosen []policy.Document
	for _, d := range now.Documents {
		kind, name := req.Msg.GetKind(), req.Msg.GetName()
		if (kind == "" || kind == string(d.ID.Kind)) && (name == "" || name == d.ID.Name) {
			chosen = append(chosen, d)
		}
	}
	return connect.NewResponse(&peerpb.ShowReply{Revision: uint64(now.Revision), Documents: EncodeDocuments(chosen)}), nil
}

// History returns recorded changes, the latest first.
func (s *Service) History(ctx context.Context, req *connect.Request[peerpb.HistoryRequest]) (*connect.Response[peerpb.HistoryReply], error) {
	limit := uint64(max(req.Msg.GetLimit(), 1))
	before := req.Msg.GetBefore()
	if before == 0 {
		before = uint64(s.Keeper.InForce().Revision) + 1
	}
	after := before - min(before, limit+1)
	changes, err := s.Recorder.Changes(ctx, ident.Revision(after))
	if err != nil {
		return nil, asConnect(err)
	}
	reply := &peerpb.HistoryReply{}
	for i := len(changes) - 1; i >= 0; i-- {
		if uint64(changes[i].Revision) < before {
			reply.Changes = append(reply.Changes, EncodeChange(changes[i]))
		}
	}
	return connect.NewResponse(reply), nil
}

// Audit returns who changed what from what to what, the latest first.
func (s *Service) Audit(ctx context.Context, req *connect.Request[peerpb.AuditRequest]) (*connect.Response[peerpb.AuditReply], error) {
	rows, err := s.Recorder.Audit(ctx, ident.Revision(req.Msg.GetBefore()), int(req.Msg.GetLimit()))
	if err != nil {
		return nil, asConnect(err)
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

// Status tells how this router is and what it knows of the others.
func (s *Service) Status(context.Context, *connect.Request[peerpb.StatusRequest]) (*connect.Response[peerpb.StatusReply], error) {
	now := s.Parts.Status()
	reply := &peerpb.StatusReply{
		Router: string(s.Self), Revision: uint64(s.Keeper.InForce().Revision), Ready: now.Ready, StoreUp: now.StoreUp,
	}
	s.Views.Read(func(v *peer.View) {
		for _, m := range v.Members() {
			reply.Members = append(reply.Members, &peerpb.MemberStatus{
				Member: peer.EncodeMember(m), Revision: uint64(v.RevisionOf(m.ID)),
			})
		}
	})
	for _, e := range now.Engines {
		reply.Engines = append(reply.Engines, &peerpb.EngineStatus{
			Id: string(e.ID), Pool: string(e.Pool), Zone: string(e.Zone), State: e.State, InFlight: uint32(max(e.InFlight, 0)),
		})
	}
	for _, a := range s.Follower.Alarms() {
		reply.Alarms = append(reply.Alarms, string(a))
	}
	return connect.NewResponse(reply), nil
}

// Shadow starts, reads or stops the comparison of a candidate with what is in force.
func (s *Service) Shadow(_ context.Context, req *connect.Request[peerpb.ShadowRequest]) (*connect.Response[peerpb.ShadowReply], error) {
	if len(req.Msg.GetDocuments()) > 0 {
		set, problems := s.Recorder.Candidate(DecodeDocuments(req.Msg.GetDocuments()))
		if len(problems) > 0 {
			return nil, connect.NewError(connect.CodeInvalidArgument, problems[0].Err)
		}
		s.Parts.Shadow.Start(set)
	}
	counts := s.Parts.Shadow.Counts()
	if req.Msg.GetStop() {
		s.Parts.Shadow.Start(nil)
	}
	return connect.NewResponse(&peerpb.ShadowReply{
		Decisions: counts.Decisions, Differing: counts.Differing, Examples: counts.Examples,
	}), nil
}

// Claim shows the claim on a key, or gives it back on the operator's word.
func (s *Service) Claim(ctx context.Context, req *connect.Request[peerpb.ClaimRequest]) (*connect.Response[peerpb.ClaimReply], error) {
	m := req.Msg
	key := claim.Key{Workspace: ident.Workspace(m.GetWorkspace()), Name: m.GetKey()}
	var record claim.Record
	var err error
	if m.GetGiveBack() {
		record, err = claim.GiveBack(ctx, s.Claims, key, claim.GivenBack{
			Operator: string(operatorOf(ctx)), At: s.Clock(), Workspace: key.Workspace, Key: key.Name, Note: m.GetNote(),
		})
	} else {
		record, _, err = claim.Inspect(ctx, s.Claims, key)
	}
	switch {
	case fault.KindOf[claim.Kind](err) == claim.Running:
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	case record.State == "":
		return nil, connect.NewError(connect.CodeNotFound, errors.New("there is no claim on this key"))
	}
	return connect.NewResponse(&peerpb.ClaimReply{
		State: string(record.State), Attempt: string(record.Attempt), UnixMs: record.UnixMS,
	}), nil
}
