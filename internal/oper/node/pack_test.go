package node

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	gocmp "github.com/google/go-cmp/cmp"

	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/peerpb"
)

const packedTable table.Name = "targets"

// newPeerService returns a service with a table of the given number of rows.
func newPeerService(rows int) *peerService {
	replicas := feed.NewReplicas(log.NewNopLogger(), time.Now)
	replicas.AddTable(packedTable, feed.Rules{}, nil)
	page := table.Page{At: table.Position{Version: table.Version(rows)}, Full: true}
	for i := range rows {
		page.Rows = append(page.Rows, table.Row{
			Table: packedTable, Key: table.Key(fmt.Sprintf("i-%08x", i)), Version: table.Version(i + 1),
			Value: fmt.Appendf(nil, `{"Service":"s","Addr":"10.1.%d.%d:8361","Zone":"zone-a","Version":"v1","Slots":16,"State":"ready"}`, i/250, i%250),
		})
	}
	replicas.Apply(packedTable, table.Position{}, page)
	return &peerService{replicas: replicas, packCache: newPackCache()}
}

// fetch returns the page that a router without a copy receives.
func (p *peerService) fetch(t testing.TB, packs bool) *peerpb.TablePage {
	t.Helper()
	reply, err := p.Rows(t.Context(), connect.NewRequest(&peerpb.RowsRequest{
		Tables: []*peerpb.TableState{{Table: string(packedTable)}}, Packs: packs,
	}))
	if err != nil {
		t.Fatal(err)
	}
	return reply.Msg.GetPages()[0]
}

// sortedRows returns the rows of a page, sorted by key.
func sortedRows(t testing.TB, in *peerpb.TablePage) []table.Row {
	t.Helper()
	page, err := decodePage(in)
	if err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(page.Rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	return page.Rows
}

// Routers that request a full page receive it packed if they accept that, with the same rows either
// way. The page is packed once until it changes.
func TestFullPagesArePackedOnce(t *testing.T) {
	const rows = 1000
	p := newPeerService(rows)
	plain, first, second := p.fetch(t, false), p.fetch(t, true), p.fetch(t, true)
	if len(plain.GetPacked()) > 0 || len(first.GetRows()) > 0 || &first.GetPacked()[0] != &second.GetPacked()[0] {
		t.Error("page packed for a router that does not accept it, sent packed and unpacked, or packed twice")
	}
	if diff := gocmp.Diff(sortedRows(t, plain), sortedRows(t, first)); diff != "" {
		t.Error(diff)
	}
	changed := table.Row{Table: packedTable, Key: "i-00000007", Version: rows + 1, Value: []byte("other")}
	p.replicas.Apply(packedTable, table.Position{Version: rows}, table.Page{At: table.Position{Version: rows + 1}, Rows: []table.Row{changed}})
	after := sortedRows(t, p.fetch(t, true))
	if diff := gocmp.Diff(sortedRows(t, p.fetch(t, false)), after); diff != "" || string(after[7].Value) != "other" {
		t.Errorf("after a change: %q, %s", after[7].Value, diff)
	}
	truncated := p.fetch(t, true)
	truncated.Packed = truncated.GetPacked()[:len(truncated.GetPacked())/2]
	if _, err := decodePage(truncated); err == nil {
		t.Error("a truncated page was decoded without an error")
	}
}

// BenchmarkFullPage measures the response to one of many routers that request a full page at once.
func BenchmarkFullPage(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			p := newPeerService(rows)
			for b.Loop() {
				p.fetch(b, true)
			}
		})
	}
}
