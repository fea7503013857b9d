package table_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/fake/listen"
	"valescale/internal/plat/table"
)

// cutService returns a client of a service whose answers have neither a length nor chunks and break off after
// the given part of the body.
func cutService(t *testing.T, part string) *table.Client {
	t.Helper()
	addr := listen.Conns(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\n%s", table.HeaderEra, part)
	})
	return table.New("http://"+addr, http.DefaultTransport, time.Second, log.NewNopLogger())
}

// Guards against a part of a table, or of a row, that is taken for all of it, because the answer has neither a
// length nor chunks and breaks off, at whichever of its bytes.
func TestBrokenAnswersAreNoRows(t *testing.T) {
	const row = `{"table":"t","key":"a","version":3,"value":"e30="}`
	const rows = "[" + row + "," + row + "]"
	for sent := range len(rows) {
		if got, err := cutService(t, rows[:sent]).Scan(t.Context(), table.Range{Table: "t", Limit: 2}); err == nil {
			t.Errorf("after %d bytes: Scan returned %+v", sent, got)
		}
	}
	for sent := range len(row) {
		if got, err := cutService(t, row[:sent]).Get(t.Context(), "t", "a"); err == nil {
			t.Errorf("after %d bytes: Get returned %+v", sent, got)
		}
	}
	if got, err := cutService(t, rows).Scan(t.Context(), table.Range{Table: "t", Limit: 2}); err != nil || len(got) != 2 {
		t.Errorf("a whole answer without a length: %+v, %v", got, err)
	}
}
