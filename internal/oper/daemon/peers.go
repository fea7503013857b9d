package daemon

import (
	"context"

	"connectrpc.com/connect"

	"valescale/internal/oper/admin"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/share/config"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// peerService implements the RPC service for other routers.
type peerService struct {
	*home.Server
	daemon *Daemon
}

// Gossip exchanges gossip digests. With TLS, a digest sent in the name of another router
// is rejected.
func (p *peerService) Gossip(ctx context.Context, req *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	if caller := authenticatedPeer(ctx); caller != "" && string(caller) != req.Msg.GetFrom() {
		return nil, connect.NewError(connect.CodePermissionDenied, fault.Newf("daemon.Gossip", Keys, "%s speaks for %s", caller, req.Msg.GetFrom()))
	}
	return connect.NewResponse(p.daemon.node.Gossip(req.Msg)), nil
}

// Fetch returns the configuration changes after a revision, or a full snapshot if the
// caller is too far behind.
func (p *peerService) Fetch(_ context.Context, req *connect.Request[peerpb.FetchRequest]) (*connect.Response[peerpb.FetchReply], error) {
	d := p.daemon
	if !d.follower.Initialized() {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	reply := &peerpb.FetchReply{Head: uint64(d.keeper.InForce().Revision)}
	changes, ok := d.keeper.Since(ident.Revision(req.Msg.GetAfter()))
	if !ok {
		snapshot := d.keeper.Documents()
		reply.SnapshotRevision = uint64(snapshot.Revision)
		reply.Snapshot = admin.EncodeDocuments(snapshot.Documents)
		return connect.NewResponse(reply), nil
	}
	for _, c := range changes {
		reply.Changes = append(reply.Changes, admin.EncodeChange(c))
	}
	return connect.NewResponse(reply), nil
}

// Rows is not implemented: these routers fetch their configuration by revision.
func (p *peerService) Rows(context.Context, *connect.Request[peerpb.RowsRequest]) (*connect.Response[peerpb.RowsReply], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

// configFetcher fetches configuration changes from other routers.
type configFetcher struct{ node *peer.Node }

// Fetch requests the configuration changes after a revision from a router.
func (f configFetcher) Fetch(ctx context.Context, from ident.Router, after ident.Revision) (config.Fetched, error) {
	client, err := f.node.Client(from)
	if err != nil {
		return config.Fetched{}, err
	}
	reply, err := client.Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{After: uint64(after)}))
	if err != nil {
		return config.Fetched{}, err
	}
	m := reply.Msg
	out := config.Fetched{Head: ident.Revision(m.GetHead())}
	if m.GetSnapshotRevision() > 0 {
		out.Snapshot = &config.Snapshot{
			Revision: ident.Revision(m.GetSnapshotRevision()), Documents: admin.DecodeDocuments(m.GetSnapshot()),
		}
		return out, nil
	}
	for _, c := range m.GetChanges() {
		out.Changes = append(out.Changes, admin.DecodeChange(c))
	}
	return out, nil
}
