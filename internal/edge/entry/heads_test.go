package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/listen"
	"valescale/internal/rule/match"
)

// badHeads are heads of answers that are none, with a body of two bytes. In each, %s stands for the id of the request.
var badHeads = map[string]string{
	"status 000":                       "HTTP/1.1 000 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                       "HTTP/1.1 099 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":             "HTTP/1.1 20 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":            "HTTP/1.1 2000 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"status with a minus":              "HTTP/1.1 -00 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"status with a plus":               "HTTP/1.1 +20 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"blank before the status line":     " HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"blank before the first field":     "HTTP/1.1 200 X\r\n Id: %s\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"blank inside a name":              "HTTP/1.1 200 X\r\nId: %s\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank before the colon":           "HTTP/1.1 200 X\r\nId: %s\r\nX : 1\r\nContent-Length: 2\r\n\r\nok",
	"blank before the colon of length": "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length : 2\r\n\r\nok",
	"blank before the colon of chunks": "HTTP/1.1 200 X\r\nId: %s\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"tab before the colon":             "HTTP/1.1 200 X\r\nId: %s\r\nX\t: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":           "HTTP/1.1 200 X\r\nId: %s\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a name":                    "HTTP/1.1 200 X\r\nId: %s\r\nX\x00Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"DEL in a name":                    "HTTP/1.1 200 X\r\nId: %s\r\nX\x7fY: 1\r\nContent-Length: 2\r\n\r\nok",
	"separator in a name":              "HTTP/1.1 200 X\r\nId: %s\r\nX(Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"empty name":                       "HTTP/1.1 200 X\r\nId: %s\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                         "HTTP/1.1 200 X\r\nId: %s\r\nX\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a value":                   "HTTP/1.1 200 X\r\nId: %s\r\nX: \x00\r\nContent-Length: 2\r\n\r\nok",
	"CR in a value":                    "HTTP/1.1 200 X\r\nId: %s\r\nX: a\rb\r\nContent-Length: 2\r\n\r\nok",
	"lengths that disagree":            "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"length with a sign":               "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: +2\r\n\r\nok",
	"blank in an informational head":   "HTTP/1.1 103 X\r\nX Y: 1\r\n\r\nHTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"blank in a trailer":               "HTTP/1.1 200 X\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	"blank before a trailer's colon":   "HTTP/1.1 200 X\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : 1\r\n\r\n",
	"control byte in a trailer":        "HTTP/1.1 200 X\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n",
	"blank in the head of another":     "HTTP/1.1 200 X\r\nId: other\r\nContent-Length : 2\r\n\r\nokHTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
}

// goodHeads are heads of answers that are unusual and allowed.
var goodHeads = map[string]string{
	"trailers":              "HTTP/1.1 200 X\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
	"no reason":             "HTTP/1.1 200\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
	"all separators":        "HTTP/1.1 200 X\r\nId: %s\r\n!#$%%&'*+-.^_`|~09az: 1\r\nContent-Length: 2\r\n\r\nok",
	"empty value":           "HTTP/1.1 200 X\r\nId: %s\r\nX:\r\nContent-Length: 2\r\n\r\nok",
	"no blank before value": "HTTP/1.1 200 X\r\nId:%s\r\nContent-Length:2\r\n\r\nok",
	"bytes above ASCII":     "HTTP/1.1 200 X\r\nId: %s\r\nX: \xc3\xa9\r\nContent-Length: 2\r\n\r\nok",
	"informational head":    "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
}

// newHeadTarget returns a target that answers each request with a text.
func newHeadTarget(t *testing.T, text string) *fakeTarget {
	t.Helper()
	target := &fakeTarget{closed: make(chan struct{}, 16)}
	target.addr = listen.Conns(t, func(c net.Conn) {
		target.serve(c, func(w *bufio.Writer, r *http.Request) bool {
			_, _ = w.WriteString(strings.ReplaceAll(text, "%s", r.Header.Get("Id")))
			return true
		})
	})
	return target
}

// headRoutes are the kinds of routes on which heads are tested.
var headRoutes = map[string]func(*match.Route){
	"not repeatable": nil, "repeatable": repeatableRoute, "stream": plainStream, "resumable stream": resumableRoute,
}

// A head whose bytes are no answer in the protocol must never reach the caller as one, nor its body: the request is repeated
// where that is allowed, and fails otherwise, the target is reported and the connection closed.
func TestBadHeadIsNoAnswer(t *testing.T) {
	for kind, route := range headRoutes {
		for name, head := range badHeads {
			t.Run(fmt.Sprint(kind, "/", name), func(t *testing.T) {
				t.Parallel()
				target := newHeadTarget(t, head)
				other := newFakeTarget(t, answer(200, "Content-Type: text/event-stream\r\n", eventText(1, 3)))
				s := newSetup(t, newRoute(route), target, other)
				got, header := s.call(t, "POST", "/", "x")
				want := response{Status: http.StatusOK, Body: eventText(1, 3)}
				if strings.HasPrefix(kind, "not") || kind == "stream" {
					want = response{Status: http.StatusBadGateway, Body: got.Body}
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error(diff)
				}
				for name := range header {
					if strings.ContainsAny(name, " \t") {
						t.Errorf("name %q was passed on", name)
					}
				}
				if failed := s.finder.reported(); len(failed) == 0 || failed[0] != "ok false" {
					t.Errorf("reports %v, want a failure of the target first", failed)
				}
				select {
				case <-target.closed:
				case <-time.After(connCloseTimeout):
					t.Error("the connection to the target is kept")
				}
			})
		}
	}
}

// A head that is unusual and allowed must pass.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for name, head := range goodHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSetup(t, newRoute(nil), newHeadTarget(t, strings.ReplaceAll(head, "%%", "%")))
			got, _ := s.call(t, "POST", "/", "x")
			if diff := cmp.Diff(response{Status: http.StatusOK, Body: "ok"}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
