package head

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/listen"
	"valescale/internal/plat/fault"
)

// kindOf returns the kind of the error of a request that is answered with a text, or nothing.
func kindOf(t *testing.T, text string) Kind {
	t.Helper()
	addr := listen.Conns(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	})
	client := &http.Client{Transport: Transport(http.DefaultTransport), Timeout: time.Second}
	resp, err := client.Get("http://" + addr)
	if err == nil {
		_ = resp.Body.Close()
	}
	return fault.KindOf[Kind](err)
}

// Guards against answers that net/http reads and that are none in the protocol: a status below 100, and names with a blank,
// whose fields nobody finds.
func TestAnswerThatIsNoneIsAnError(t *testing.T) {
	for text, want := range map[string]Kind{
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n":                               Status,
		"HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n":                               Status,
		"HTTP/1.1 200 X\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n":                     Name,
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nok":                            Name,
		"HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": Name,
		"HTTP/1.1 200 X\r\n!#$%&'*+-.^_`|~09az: 1\r\nContent-Length: 0\r\n\r\n":     "",
		"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n":                               "",
	} {
		if diff := cmp.Diff(want, kindOf(t, text)); diff != "" {
			t.Errorf("%q: %s", text, diff)
		}
	}
}
