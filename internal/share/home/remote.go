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

// Kind is the kind of this package's errors.
type Kind string

const (
	// Unreachable means that the home did not respond. It may have granted the permit.
	Unreachable Kind = "unreachable"
	// LocalDelay means that this router itself was delayed, by a pause or a shortage of processor time
	// or file descriptors, so the home may have responded in time.
	LocalDelay Kind = "held_up"
	// Unknown means that the home is not in the membership view.
	Unknown Kind = "unknown"
	// Foreign means that a router sent a request in the name of another.
	Foreign Kind = "foreign"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Clients provides the clients of routers.
type Clients interface {
	Client(id ident.Router) (peerpb.PeerServiceClient, error)
	// ReportUnanswered reports that a router did not respond in time.
	ReportUnanswered(id ident.Router)
}

// Remote sends requests to homes. Calls to a local home do not use the network.
type Remote struct {
	self    ident.Router
	local   *Homes
	clients Clients
	timeout time.Duration
	links   *links
}

// NewRemote returns a Remote and the function that closes its links. The timeout bounds each call,
// in addition to the time that a request may wait in a queue.
func NewRemote(self Edge, local *Homes, clients Clients, timeout time.Duration) (*Remote, func()) {
	r := &Remote{self: self.ID, local: local, clients: clients, timeout: timeout, links: newLinks(self, clients)}
	return r, r.links.close
}

// Place requests a permit from a home.
func (r *Remote) Place(ctx context.Context, home ident.Router, req PermitRequest, released []uint64) (PermitResponse, error) {
	if home == r.self {
		return r.local.Place(ctx, req, released), nil
	}
	l, err := r.links.to(home)
	if err != nil {
		return PermitResponse{}, err
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
		return resp, fault.New("home.Place", LocalDelay, err)
	}
	if l.recordMissed() {
		r.links.closeLink(home)
		r.clients.ReportUnanswered(home)
	}
	return resp, err
}

// maxLocalDelay is how late a timeout may fire before the router attributes it to its own delay.
// Routers that suspected homes because of their own shortage of processor time would each select
// different homes for one shard, for as long as they are overloaded.
const maxLocalDelay = 50 * time.Millisecond

// Release releases permits to a home.
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

// Publish sends a digest to a standby.
func (r *Remote) Publish(to ident.Router, d place.Digest) {
	if l, err := r.links.to(to); err == nil {
		l.enqueue(linkItem{load: encodeDigest(d)})
	}
}

// DigestSize returns the encoded size of a digest in bytes, without framing.
func DigestSize(d place.Digest) int { return proto.Size(encodeDigest(d)) }

// Sync sends a home the full list of permits that this router holds in a shard.
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

// Withdraw informs an earlier home that another one counts this router's permits now.
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

// Handoff sends a transfer to its destination.
func (r *Remote) Handoff(ctx context.Context, p Transfer) error {
	return r.call(ctx, "home.Handoff", p.To, func(ctx context.Context, client peerpb.PeerServiceClient) error {
		_, err := client.Handoff(ctx, connect.NewRequest(encodeTransfer(r.self, p)))
		return err
	})
}

// PermitExchangeSize returns the encoded size of a permit request and its response in bytes, without
// framing.
func PermitExchangeSize(req PermitRequest, released []uint64, resp PermitResponse) int {
	return proto.Size(encodePermitRequest(req, released, 0)) + proto.Size(encodePermitResponse(resp))
}

// TransferSize returns the encoded size of a transfer in bytes, without framing.
func TransferSize(p Transfer) int { return proto.Size(encodeTransfer("", p)) }

func encodeTransfer(from ident.Router, p Transfer) *peerpb.HandoffRequest {
	return &peerpb.HandoffRequest{
		From: string(from), Pool: string(p.ID.Pool), Shard: uint32(p.ID.Shard),
		Places: encodePlaces(p.Places), Replica: p.Replica,
	}
}

// Grant requests tokens of a workspace from its home. It returns zero tokens if the workspace has
// no limit there.
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
