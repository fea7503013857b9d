package main

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// fixedClient returns the same client for every router.
type fixedClient struct{ client peerpb.PeerServiceClient }

// ReportUnanswered does nothing: the server of this run always responds.
func (fixedClient) ReportUnanswered(ident.Router) {}

// Client returns the fixed client.
func (o fixedClient) Client(ident.Router) (peerpb.PeerServiceClient, error) { return o.client, nil }

// linkServer is the part of a router that serves links.
type linkServer struct {
	peerpb.UnimplementedPeerServiceHandler
	*home.Server
}

// Link is served by the home.
func (l linkServer) Link(ctx context.Context, s *connect.BidiStream[peerpb.LinkRequest, peerpb.LinkReply]) error {
	return l.Server.Link(ctx, s)
}

// Sync is served by the home.
func (l linkServer) Sync(ctx context.Context, r *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncReply], error) {
	return l.Server.Sync(ctx, r)
}

// Handoff is served by the home.
func (l linkServer) Handoff(ctx context.Context, r *connect.Request[peerpb.HandoffRequest]) (*connect.Response[peerpb.HandoffReply], error) {
	return l.Server.Handoff(ctx, r)
}

// Grant is served by the home.
func (l linkServer) Grant(ctx context.Context, r *connect.Request[peerpb.GrantRequest]) (*connect.Response[peerpb.GrantReply], error) {
	return l.Server.Grant(ctx, r)
}

// FindOrigin is served by the home.
func (l linkServer) FindOrigin(ctx context.Context, r *connect.Request[peerpb.FindOriginRequest]) (*connect.Response[peerpb.FindOriginReply], error) {
	return l.Server.FindOrigin(ctx, r)
}

// measureLink measures a permit and its release over a real link, in separate messages. Each request
// and response includes the loads of the pool's other shards.
func measureLink(shards int, secure bool) callCost {
	shards = min(max(shards, 1), 16)
	meter := &peer.Meter{}
	homes := home.New("router-home", home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
	pool := ident.NewPool(service, region)
	_, engines := homeWith(124, 1)
	homes.SetPool(pool, place.DefaultBound, place.NewRoster(shards, engines))
	path, handler := peerpb.NewPeerServiceHandler(linkServer{Server: home.NewServer(homes, nil, func(context.Context) ident.Router { return "" })})
	client, stop := serve(meter, path, handler, secure)
	defer stop()
	// A process that has run for some time has permit numbers this far above its base.
	const base = uint64(1_764_000_000_000) << 20
	remote, closeRemote := home.NewRemote(home.Edge{ID: "router-edge", Zone: "zone-a", Base: base}, nil, fixedClient{client}, 5*time.Second)
	defer closeRemote()
	id := place.ShardID{Pool: pool}
	var loads []place.ShardLoad
	for i := 1; i < min(shards, 5); i++ {
		loads = append(loads, place.ShardLoad{Shard: ident.Shard(i), Age: 400 * time.Millisecond, Work: 105_000})
	}
	const firstPermit = base + 1_000_000
	return measureCall(meter, func(i int) {
		permit := firstPermit + uint64(i)
		_, err := remote.Place(context.Background(), "router-home", home.PermitRequest{
			Request: place.Request{
				Edge: "router-edge", Permit: permit, Key: ident.ChatKey(ident.Mix(uint64(i), 2)), Work: ident.OneRequest, Zone: "zone-a",
			},
			Shard: id, Workspace: "workspace-17", Weight: 1, Priority: 5, ShardLoads: loads,
		}, nil)
		if err != nil {
			panic(err)
		}
		_ = remote.Release(context.Background(), "router-home", id, []uint64{permit})
	})
}
