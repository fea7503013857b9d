package object

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/fake/listen"
)

const content = "the content of an object"

// getFrom reads an object from a service that answers with the given headers and body and then closes the
// connection in order.
func getFrom(t *testing.T, answer string) (string, error) {
	t.Helper()
	addr := listen.Conns(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+answer)
	})
	data, err := New("http://"+addr, http.DefaultTransport, time.Second, 1<<10).Get(t.Context(), "o")
	return string(data), err
}

// Guards against a part of an object that is taken for all of it, because its answer breaks off.
func TestBrokenObjectWithAMarkedEndIsAnError(t *testing.T) {
	withLength := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(content), content)
	inChunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(content), content)
	for _, whole := range []string{withLength, inChunks} {
		for sent := range len(whole) {
			if got, err := getFrom(t, whole[:sent]); err == nil {
				t.Errorf("after %q: Get returned %q", whole[:sent], got)
			}
		}
		if got, err := getFrom(t, whole); err != nil || got != content {
			t.Errorf("a whole object: %q, %v", got, err)
		}
	}
}

// Guards against a part of an object that is taken for all of it, because its answer has neither a length nor
// chunks: nothing in the bytes of an object shows that some are missing.
func TestBrokenObjectWithoutAMarkedEndIsAnError(t *testing.T) {
	for sent := range len(content) {
		if got, err := getFrom(t, "\r\n"+content[:sent]); err == nil {
			t.Errorf("after %d bytes: Get returned %q", sent, got)
		}
	}
}

// Guards against an object with bytes that are none of its own: the name of the field that frames it holds a blank, so that
// nobody finds it.
func TestObjectWithABlankInAFieldNameIsAnError(t *testing.T) {
	for _, framing := range []string{"Content-Length : 2\r\nContent-Length: 24\r\n\r\n" + content, "X Y: 1\r\nContent-Length: 24\r\n\r\n" + content} {
		if got, err := getFrom(t, framing); err == nil {
			t.Errorf("%q: Get returned %q", framing, got)
		}
	}
}
