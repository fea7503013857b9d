package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/fake/listen"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/head"
)

// Guards against answers on the product's own interface whose head is none in the protocol: with a status below 100, which the
// HTTP server cannot write, or with a blank in a name.
func TestBadHeadIsNoReply(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 X\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\nContent-Length: 2\r\n\r\nok",
	} {
		addr := listen.Conns(t, func(c net.Conn) {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
		})
		r, closeRelay := New(DefaultLimits)
		for _, singleUse := range []bool{false, true} {
			reply, err := r.Send(t.Context(), Call{Addr: addr, Method: http.MethodPost, Path: "/", Header: http.Header{}, SingleUse: singleUse, Timeout: time.Second})
			if err == nil {
				reply.Close()
				t.Errorf("%q: status %d", text, reply.Status)
				continue
			}
			if fault.KindOf[Kind](err) != Broken || fault.KindOf[head.Kind](err) == "" {
				t.Errorf("%q: %v", text, err)
			}
		}
		closeRelay()
	}
}
