package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/plat/sock"
)

// scriptedConn is a connection whose reads return a given text, whatever is written.
type scriptedConn struct {
	net.Conn
	script *bytes.Reader
}

func (s scriptedConn) Read(p []byte) (int, error)  { return s.script.Read(p) }
func (s scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (s scriptedConn) Close() error                { return nil }

// FuzzAnswers reads the answers to two exchanges from a connection with arbitrary content: cut,
// surplus, crossed or without a length. An answer is accepted only if it is to the request, and a
// connection is reused only if it has no unread bytes.
func FuzzAnswers(f *testing.F) {
	whole := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n\r\nunframed"))
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, script []byte) {
		c := newConn("t", scriptedConn{script: bytes.NewReader(script)}, 1<<12)
		for _, id := range []string{"1", "2"} {
			resp, err := c.readMatchingHead(Exchange{Method: http.MethodPost, Matches: func(h http.Header) bool { return h.Get("Id") == id }})
			if err != nil {
				return
			}
			if got := resp.Header.Get("Id"); got != id {
				t.Fatalf("request %s received the answer to %q", id, got)
			}
			request := sock.NewWrite()
			request.End(nil)
			a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, conn: c, request: request, closesConn: resp.Close}
			_, err = io.Copy(io.Discard, a)
			if a.reusable() && (err != nil || c.reader.Buffered() > 0) {
				t.Fatalf("a connection with %d unread bytes, %v, would be reused", c.reader.Buffered(), err)
			}
			if !a.reusable() {
				return
			}
		}
	})
}

// FuzzKeepAlive checks that no header gives a negative keep-alive timeout.
func FuzzKeepAlive(f *testing.F) {
	f.Add("timeout=5, max=100")
	f.Add("TIMEOUT = 99999999999999999999")
	f.Fuzz(func(t *testing.T, value string) {
		if timeout, ok := keepAlive(http.Header{"Keep-Alive": {value}}); ok && timeout < 0 {
			t.Errorf("%q keeps a connection for %v", value, timeout.Round(time.Second))
		}
	})
}
