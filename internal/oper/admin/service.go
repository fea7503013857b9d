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

// Membership gives access to the membership view of this router.
type Membership interface {
	// Read calls a function with the membership view.
	Read(read func(*peer.View))
	// GossipNow exchanges gossip digests with several peers at once.
	GossipNow(ctx context.Context)
}

// Status is the state of this router as shown to operators.
type Status struct {
	Ready   bool
	StoreUp bool
	Engines []EngineStatus
}

// EngineStatus is the state of one engine, with the requests in flight as counted by its home.
type EngineStatus struct {
	ID       ident.Target
	Pool     ident.Pool
	Zone     ident.Zone
	State    string
	InFlight int
}

// Parts are the dependencies of the service.
type Parts struct {
	Self       ident.Router
	Operators  map[policy.TokenHash]string
	Keeper     *config.Keeper
	Recorder   *config.Recorder
	Follower   *config.Follower
	Membership Membership
	Shadow     *Shadow
	Claims     claim.Store
	Clock      ident.Clock
	Status     func() Status
}

// Service implements the RPC service for operators' commands.
type Service struct {
	Parts
	mu sync.Mutex
	// lastGather is the time of the latest gossip for acknowledgements.
	lastGather time.Time
}

// New returns a service with its dependencies.
func New(parts Parts) *Service { return &Service{Parts: parts} }

type operatorKey struct{}

// Authenticate returns an interceptor that rejects requests without the bearer token of an
// operator.
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

// Show returns documents in force; an empty kind or name matches all.
func (s *Service) Show(_ context.Context, req *connect.Request[peerpb.ShowRequest]) (*connect.Response[peerpb.ShowReply], error) {
	current := s.Keeper.Documents()
	var matching []policy.Document
	for _, d := range current.Documents {
		kind, name := req.Msg.GetKind(), req.Msg.GetName()
		if (kind == "" || kind == string(d.ID.Kind)) && (name == "" || name == d.ID.Name) {
			matching = append(matching, d)
		}
	}
	return connect.NewResponse(&peerpb.ShowReply{Revision: uint64(current.Revision), Documents: EncodeDocuments(matching)}), nil
}

// Status returns the state of this router and the members of its membership view.
func (s *Service) Status(context.Context, *connect.Request[peerpb.StatusRequest]) (*connect.Response[peerpb.StatusReply], error) {
	status := s.Parts.Status()
	reply := &peerpb.StatusReply{
		Router: string(s.Self), Revision: uint64(s.Keeper.InForce().Revision), Ready: status.Ready, StoreUp: status.StoreUp,
	}
	s.Membership.Read(func(v *peer.View) {
		for _, m := range v.Members() {
			reply.Members = append(reply.Members, &peerpb.MemberStatus{
				Member: peer.EncodeMember(m), Revision: uint64(v.RevisionOf(m.ID)),
			})
		}
	})
	for _, e := range status.Engines {
		reply.Engines = append(reply.Engines, &peerpb.EngineStatus{
			Id: string(e.ID), Pool: string(e.Pool), Zone: string(e.Zone), State: e.State, InFlight: uint32(max(e.InFlight, 0)),
		})
	}
	for _, a := range s.Follower.Alarms() {
		reply.Alarms = append(reply.Alarms, string(a))
	}
	return connect.NewResponse(reply), nil
}

// Shadow starts, reads or stops the comparison of a candidate with the configuration in force.
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

// Claim returns the claim on a key, or releases it on behalf of the operator.
func (s *Service) Claim(ctx context.Context, req *connect.Request[peerpb.ClaimRequest]) (*connect.Response[peerpb.ClaimReply], error) {
	m := req.Msg
	key := claim.Key{Workspace: ident.Workspace(m.GetWorkspace()), Name: m.GetKey()}
	var record claim.Record
	var err error
	if m.GetGiveBack() {
		record, err = claim.ForceRelease(ctx, s.Claims, key, claim.ManualRelease{
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
