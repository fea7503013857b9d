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
	"valescale/internal/plat/memory"
)

// Guards against a body of the product's own interface that counts as whole although its trailers hold a blank in a name.
func TestBadTrailerEndsNoReply(t *testing.T) {
	addr := listen.Conns(t, func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n")
		}
	})
	r, closeRelay := New(DefaultLimits)
	defer closeRelay()
	reply, err := r.Send(t.Context(), Call{Addr: addr, Method: http.MethodPost, Path: "/", Header: http.Header{}, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	reserved := memory.New(memory.MB, time.Now).Open(memory.Answers, memory.Owner{})
	defer reserved.Close()
	if body, err := reply.Whole(reserved); err == nil {
		t.Errorf("%q counts as whole", body)
	}
}

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
