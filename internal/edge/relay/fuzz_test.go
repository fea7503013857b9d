package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// scripted is a connection whose other end says what was given, whatever it is asked.
type scriptedConn struct {
	net.Conn
	script *bytes.Reader
}

func (s scriptedConn) Read(p []byte) (int, error)  { return s.script.Read(p) }
func (s scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (s scriptedConn) Close() error                { return nil }

// FuzzAnswers reads two exchanges' answers off a connection on which anything may come: cut, extra,
// crossed or without a length. An answer is only taken if it names its request, and
// a connection is only used again when no byte is left on it.
func FuzzAnswers(f *testing.F) {
	whole := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n\r\nunframed"))
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, script []byte) {
		c := newConn("t", scriptedConn{script: bytes.NewReader(script)}, 1<<12)
		for _, id := range []string{"1", "2"} {
			resp, err := c.readMatchingHead(Exchange{Method: http.MethodPost, Owns: func(h http.Header) bool { return h.Get("Id") == id }})
			if err != nil {
				return
			}
			if got := resp.Header.Get("Id"); got != id {
				t.Fatalf("request %s got the answer to %q", id, got)
			}
			written := make(chan error, 1)
			written <- nil
			a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, conn: c, written: written, closesConn: resp.Close}
			_, err = io.Copy(io.Discard, a)
			if a.reusable() && (err != nil || c.reader.Buffered() > 0) {
				t.Fatalf("a connection with %d bytes left, %v, would be used again", c.reader.Buffered(), err)
			}
			if !a.reusable() {
				return
			}
		}
	})
}

// FuzzKeepAlive checks that no header makes a connection be kept for less than no time.
func FuzzKeepAlive(f *testing.F) {
	f.Add("timeout=5, max=100")
	f.Add("TIMEOUT = 99999999999999999999")
	f.Fuzz(func(t *testing.T, value string) {
		if timeout, ok := keepAlive(http.Header{"Keep-Alive": {value}}); ok && timeout < 0 {
			t.Errorf("%q keeps a connection for %v", value, timeout.Round(time.Second))
		}
	})
}
