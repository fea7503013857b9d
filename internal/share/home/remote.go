package home

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// Kind tells this package's errors apart.
type Kind string

const (
	// Unreachable means that the home did not answer; it may have given the permit.
	Unreachable Kind = "unreachable"
	// HeldUp means that this router was held up itself, frozen or short of processor time or
	// descriptors, so that it cannot tell whether the home would have answered.
	HeldUp Kind = "held_up"
	// Unknown means that membership does not know the home.
	Unknown Kind = "unknown"
	// Foreign means that a router speaks for another.
	Foreign Kind = "foreign"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Clients gives the client of a router.
type Clients interface {
	Client(id ident.Router) (peerpb.PeerServiceClient, error)
	// Unanswered tells of requests to a router that were not answered in time.
	Unanswered(id ident.Router)
}

// Remote asks homes wherever they are, without a call if it is here.
type Remote struct {
	self    ident.Router
	local   *Homes
	clients Clients
	timeout time.Duration
	links   *links
}

// NewRemote returns a Remote whose calls are bounded by timeout, waiting not
// counted, and the function that closes its links.
func NewRemote(self Edge, local *Homes, clients Clients, timeout time.Duration) (*Remote, func()) {
	r := &Remote{self: self.ID, local: local, clients: clients, timeout: timeout, links: newLinks(self, clients)}
	return r, r.links.close
}

// Place asks a home for a permit.
func (r *Remote) Place(ctx context.Context, home ident.Router, req Ask, released []uint64) (Answer, error) {
	if home == r.self {
		return r.local.Place(ctx, req, released), nil
	}
	l, err := r.links.to(home)
	if err != nil {
		return Answer{}, err
	}
	start := time.Now()
	maxWait := r.timeout + req.Wait
	limited, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	resp, err := l.place(limited, req, released)
	if err == nil || ctx.Err() != nil {
		return resp, err
	}
	if late := time.Since(start) - maxWait; late > maxLocalDelay {
		return resp, fault.New("home.Place", HeldUp, err)
	}
	if l.recordMissed() {
		r.links.closeLink(home)
		r.clients.Unanswered(home)
	}
	return resp, err
}

// heldUp is how late the end of a request's time may be noticed before this router counts
// as held up itself. Routers that blamed homes for their own lack of processor time took
// several for home of one shard, each for itself, for as long as they were pressed.
const maxLocalDelay = 50 * time.Millisecond

// Release gives permits back to a home.
func (r *Remote) Release(_ context.Context, home ident.Router, id place.ShardID, released []uint64) error {
	if home == r.self {
		r.local.Release(id, r.self, released)
		return nil
	}
	l, err := r.links.to(home)
	if err != nil {
		return err
	}
	l.release(id, released)
	return nil
}

// Publish tells a router that is next in line what this home counts.
func (r *Remote) Publish(to ident.Router, d place.Digest) {
	if l, err := r.links.to(to); err == nil {
		l.enqueue(linkItem{load: encodeDigest(d)})
	}
}

// LoadSize is the size of a digest on the wire, in bytes without framing.
func LoadSize(d place.Digest) int { return proto.Size(encodeDigest(d)) }

// Sync tells a home all permits that this router holds in a shard.
func (r *Remote) Sync(ctx context.Context, home ident.Router, id place.ShardID, held []place.Permit, upto uint64, from ident.Router) error {
	if home == r.self {
		r.local.Sync(id, r.self, held, upto, from)
		return nil
	}
	return r.call(ctx, "home.Sync", home, func(ctx context.Context, client peerpb.PeerServiceClient) error {
		_, err := client.Sync(ctx, connect.NewRequest(&peerpb.SyncRequest{
			Edge: string(r.self), Pool: string(id.Pool), Shard: uint32(id.Shard),
			Permits: encodePermits(held), Upto: upto, From: string(from),
		}))
		return err
	})
}

// Withdraw tells an earlier home that another one counts this router's permits now.
func (r *Remote) Withdraw(ctx context.Context, home ident.Router, id place.ShardID, upto uint64) error {
	if home == r.self {
		r.local.Withdraw(id, r.self, upto)
		return nil
	}
	return r.call(ctx, "home.Withdraw", home, func(ctx context.Context, client peerpb.PeerServiceClient) error {
		_, err := client.Sync(ctx, connect.NewRequest(&peerpb.SyncRequest{
			Edge: string(r.self), Pool: string(id.Pool), Shard: uint32(id.Shard), Upto: upto, Withdraw: true,
		}))
		return err
	})
}

// Handoff passes a transfer to a shard's next home.
func (r *Remote) Handoff(ctx context.Context, p Transfer) error {
	return r.call(ctx, "home.Handoff", p.To, func(ctx context.Context, client peerpb.PeerServiceClient) error {
		_, err := client.Handoff(ctx, connect.NewRequest(encodeTransfer(r.self, p)))
		return err
	})
}

// PlaceSize is the size of a request for a permit and its answer on the wire, in
// bytes without framing.
func PlaceSize(req Ask, released []uint64, answer Answer) int {
	return proto.Size(encodePermitRequest(req, released, 0)) + proto.Size(encodePermitResponse(answer))
}

// HandoffSize is the size of a transfer on the wire, in bytes without framing.
func HandoffSize(p Transfer) int { return proto.Size(encodeTransfer("", p)) }

func encodeTransfer(from ident.Router, p Transfer) *peerpb.HandoffRequest {
	return &peerpb.HandoffRequest{
		From: string(from), Pool: string(p.ID.Pool), Shard: uint32(p.ID.Shard),
		Places: encodePlaces(p.Places), Replica: p.Replica,
	}
}

// Grant asks a workspace's home for tokens; known is false when it has no limit.
func (r *Remote) Grant(ctx context.Context, home ident.Router, workspace ident.Workspace, want int) (granted int, retryAfter time.Duration, err error) {
	if home == r.self {
		granted, retryAfter, _ = r.local.Grant(workspace, want)
		return granted, retryAfter, nil
	}
	err = r.call(ctx, "home.Grant", home, func(ctx context.Context, client peerpb.PeerServiceClient) error {
		reply, err := client.Grant(ctx, connect.NewRequest(&peerpb.GrantRequest{
			Edge: string(r.self), Workspace: string(workspace), Want: int64(want),
		}))
		if err != nil {
			return err
		}
		granted = int(reply.Msg.GetGranted())
		retryAfter = time.Duration(reply.Msg.GetRetryAfterMs()) * time.Millisecond
		return nil
	})
	return granted, retryAfter, err
}

func (r *Remote) call(ctx context.Context, op string, home ident.Router, do func(context.Context, peerpb.PeerServiceClient) error) error {
	client, err := r.clients.Client(home)
	if err != nil {
		return fault.New(op, Unknown, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if err := do(ctx, client); err != nil {
		return fault.New(op, Unreachable, err)
	}
	return nil
}
