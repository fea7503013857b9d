package node

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// peerService serves requests of peers.
type peerService struct {
	*home.Server
	peers     *peer.Node
	replicas  *feed.Replicas
	packCache *packCache
}

// Gossip exchanges gossip digests.
func (p *peerService) Gossip(_ context.Context, req *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	return connect.NewResponse(p.peers.Gossip(req.Msg)), nil
}

// Fetch is not supported, since the configuration is read from the store.
func (p *peerService) Fetch(context.Context, *connect.Request[peerpb.FetchRequest]) (*connect.Response[peerpb.FetchReply], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

// maxRowsWait limits how long a peer's call waits for changes, whatever the peer requests. Routers
// of this version request a fraction of a second.
const maxRowsWait = 2 * time.Second

// Rows returns the row changes of this router's replicas.
func (p *peerService) Rows(ctx context.Context, req *connect.Request[peerpb.RowsRequest]) (*connect.Response[peerpb.RowsReply], error) {
	p.replicas.Wait(ctx, waitPositions(req.Msg.GetTables()), min(time.Duration(req.Msg.GetWaitMs())*time.Millisecond, maxRowsWait))
	reply := &peerpb.RowsReply{}
	for _, s := range req.Msg.GetTables() {
		page, known := p.replicas.Since(decodeState(s))
		if !known {
			continue
		}
		encoded, err := p.encode(s.GetTable(), page, req.Msg.GetPacks())
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		reply.Pages = append(reply.Pages, encoded)
	}
	return connect.NewResponse(reply), nil
}

// encode encodes a page for a router that may accept packed rows.
func (p *peerService) encode(name string, page table.Page, acceptsPacked bool) (*peerpb.TablePage, error) {
	if !acceptsPacked || !page.Full || len(page.Rows) < minPackedRows {
		return encodePage(name, page), nil
	}
	packed, err := p.packCache.of(table.Name(name), page)
	if err != nil {
		return nil, err
	}
	page.Rows = nil
	out := encodePage(name, page)
	out.Packed = packed
	return out, nil
}

// encodeState encodes the position of this router's replica of a table.
func encodeState(s feed.State) *peerpb.TableState {
	return &peerpb.TableState{
		Table: string(s.Table), Known: s.Known, Era: uint64(s.At.Era), Version: int64(s.At.Version), Rank: s.Rank,
	}
}

// decodeState decodes the position of a peer's replica of a table.
func decodeState(s *peerpb.TableState) feed.State {
	return feed.State{
		Table: table.Name(s.GetTable()), Known: s.GetKnown(), Rank: s.GetRank(),
		At: table.Position{Era: table.Era(s.GetEra()), Version: table.Version(s.GetVersion())},
	}
}

// waitPositions returns the positions after which a peer waits for a change.
func waitPositions(have []*peerpb.TableState) map[table.Name]table.Position {
	out := make(map[table.Name]table.Position, len(have))
	for _, in := range have {
		s := decodeState(in)
		if !s.Known {
			// A router without a copy does not have to wait for a change.
			s.At = table.Position{}
		}
		out[s.Table] = s.At
	}
	return out
}

// peerRows reads tables from peers.
type peerRows struct{ node *Node }

// Candidates returns the peers that may answer: first one of each zone, which is its reader or the
// next after this router, then the other live ones, then those that are leaving. While a fleet is
// replaced, only the latter may have any data.
func (p peerRows) Candidates() []ident.Router {
	n := p.node
	zones := map[ident.Zone]bool{}
	var leaving []ident.Router
	n.peers.Read(func(v *peer.View) {
		for _, m := range v.Members() {
			zones[m.Zone] = true
			if m.State == peer.Leaving && m.ID != n.self.ID {
				leaving = append(leaving, m.ID)
			}
		}
	})
	var readers, rest []ident.Router
	for zone := range zones {
		order := slices.DeleteFunc(n.zoneOrder(zone), func(r ident.Router) bool { return r == n.self.ID })
		if len(order) > 0 {
			readers = append(readers, order[0])
			rest = append(rest, order[1:]...)
		}
	}
	slices.Sort(readers)
	slices.Sort(rest)
	return slices.Concat(readers, rest, leaving)
}

// Rows returns the changes after the given states. It waits for the given time at most.
func (p peerRows) Rows(ctx context.Context, from ident.Router, have []feed.State, wait time.Duration) ([]feed.Reply, error) {
	const op = "node.Rows"
	client, err := p.node.peers.Client(from)
	if err != nil {
		return nil, fault.New(op, feed.Unreachable, err)
	}
	req := &peerpb.RowsRequest{WaitMs: wait.Milliseconds(), Packs: true}
	for _, s := range have {
		req.Tables = append(req.Tables, encodeState(s))
	}
	reply, err := client.Rows(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fault.New(op, feed.Unreachable, err)
	}
	var out []feed.Reply
	for _, in := range reply.Msg.GetPages() {
		page, err := decodePage(in)
		if err != nil {
			return nil, fault.New(op, feed.Unreachable, err)
		}
		out = append(out, feed.Reply{Table: table.Name(in.GetTable()), Page: page})
	}
	return out, nil
}

// encodePage encodes a page for a peer.
func encodePage(name string, page table.Page) *peerpb.TablePage {
	out := &peerpb.TablePage{
		Table: name, Era: uint64(page.At.Era), Version: int64(page.At.Version), Whole: page.Full, AgeMs: page.Age.Milliseconds(),
	}
	out.Rows, out.Kept = encodeRows(page.Rows), encodeRows(page.Kept)
	return out
}

// encodeRows encodes rows for a peer.
func encodeRows(rows []table.Row) []*peerpb.TableRow {
	var out []*peerpb.TableRow
	for _, row := range rows {
		out = append(out, &peerpb.TableRow{
			Key: string(row.Key), Value: row.Value, Era: uint64(row.Era), Version: int64(row.Version), Deleted: row.Deleted,
		})
	}
	return out
}

// decodePage decodes a page from a peer.
func decodePage(in *peerpb.TablePage) (table.Page, error) {
	out := table.Page{
		At:   table.Position{Era: table.Era(in.GetEra()), Version: table.Version(in.GetVersion())},
		Full: in.GetWhole(), Age: time.Duration(in.GetAgeMs()) * time.Millisecond,
	}
	out.Rows, out.Kept = decodeRows(in.GetTable(), in.GetRows()), decodeRows(in.GetTable(), in.GetKept())
	if len(in.GetPacked()) == 0 {
		return out, nil
	}
	rows, err := unpackRows(in.GetTable(), in.GetPacked())
	out.Rows = rows
	return out, err
}

// decodeRows decodes a table's rows from a peer.
func decodeRows(name string, in []*peerpb.TableRow) []table.Row {
	var out []table.Row
	for _, row := range in {
		out = append(out, table.Row{
			Table: table.Name(name), Key: table.Key(row.GetKey()), Value: row.GetValue(),
			Version: table.Version(row.GetVersion()), Deleted: row.GetDeleted(), Era: table.Era(row.GetEra()),
		})
	}
	return out
}
