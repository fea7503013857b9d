package node

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/peerpb"
)

const (
	// packFrom is the least number of rows of a whole page that is packed: fewer are no work.
	packFrom = 100
	// mostUnpacked bounds what a packed page may hold, in bytes: many times 20,000 rows.
	mostUnpacked = 64 << 20
)

// packs holds the whole copies of tables as they are sent to other routers. When a fleet starts again, sixteen
// routers ask each of those that others read from for the same copy at once; to encode and compress one takes a tenth of a
// second of a box with a fifth of a core.
type packs struct {
	mu   sync.Mutex
	made map[table.Name]pack
}

// pack is one table's copy as it is sent.
type pack struct {
	of   packKey
	data []byte
}

// packKey tells copies of a table apart.
type packKey struct {
	at   table.Position
	rows int
	sum  uint64
}

// keyOf is the key of a whole page.
func keyOf(page table.Page) packKey {
	key := packKey{at: page.At, rows: len(page.Rows)}
	for i := range page.Rows {
		// The order of rows in a page is any.
		key.sum += ident.Mix(uint64(page.Rows[i].Version), uint64(page.Rows[i].Era))
	}
	return key
}

// newPacks returns packs of nothing.
func newPacks() *packs { return &packs{made: map[table.Name]pack{}} }

// of returns a whole page's rows, packed. Those who ask while it is being made wait for it.
func (p *packs) of(name table.Name, page table.Page) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := keyOf(page)
	if known, made := p.made[name]; made && known.of == key {
		return known.data, nil
	}
	data, err := packRows(page.Rows)
	if err != nil {
		return nil, err
	}
	p.made[name] = pack{of: key, data: data}
	return data, nil
}

// packRows encodes and compresses rows.
func packRows(rows []table.Row) ([]byte, error) {
	const op = "node.packRows"
	data, err := proto.Marshal(&peerpb.PackedRows{Rows: encodeRows(rows)})
	if err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	if err := w.Close(); err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	return out.Bytes(), nil
}

// unpackRows is the reverse of packRows.
func unpackRows(name string, packed []byte) ([]table.Row, error) {
	const op = "node.unpackRows"
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, mostUnpacked))
	if err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	var rows peerpb.PackedRows
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	return decodeRows(name, rows.GetRows()), nil
}
