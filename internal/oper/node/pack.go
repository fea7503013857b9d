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
	minPackedRows = 100
	// mostUnpacked bounds what a packed page may hold, in bytes: many times 20,000 rows.
	maxUnpackedBytes = 64 << 20
)

// packs holds the whole copies of tables as they are sent to other routers. When a fleet starts again, sixteen
// routers ask each of those that others read from for the same copy at once; to encode and compress one takes a tenth of a
// second of a box with a fifth of a core.
type packCache struct {
	mu     sync.Mutex
	packed map[table.Name]packedPage
}

// pack is one table's copy as it is sent.
type packedPage struct {
	of   pageKey
	data []byte
}

// packKey tells copies of a table apart.
type pageKey struct {
	position table.Position
	rows     int
	rowsHash uint64
}

// keyOf is the key of a whole page.
func pageKeyOf(page table.Page) pageKey {
	key := pageKey{position: page.At, rows: len(page.Rows)}
	for i := range page.Rows {
		// The order of rows in a page is any.
		key.rowsHash += ident.Mix(uint64(page.Rows[i].Version), uint64(page.Rows[i].Era))
	}
	return key
}

// newPacks returns packs of nothing.
func newPackCache() *packCache { return &packCache{packed: map[table.Name]packedPage{}} }

// of returns a whole page's rows, packed. Those who ask while it is being made wait for it.
func (p *packCache) of(name table.Name, page table.Page) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := pageKeyOf(page)
	if cached, packed := p.packed[name]; packed && cached.of == key {
		return cached.data, nil
	}
	data, err := packRows(page.Rows)
	if err != nil {
		return nil, err
	}
	p.packed[name] = packedPage{of: key, data: data}
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
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	var rows peerpb.PackedRows
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, fault.New(op, BadRow, err)
	}
	return decodeRows(name, rows.GetRows()), nil
}
