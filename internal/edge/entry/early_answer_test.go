package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/reach"
	"valescale/internal/edge/relay"
	"valescale/internal/fake/listen"
	"valescale/internal/rule/match"
)

// earlyAnswer is an answer without a marked end that a target sends at the head of an upload.
type earlyAnswer struct {
	// head is added to its header.
	head string
	// pause is the time between its body and the end of the connection.
	pause time.Duration
	// upload is the size of the request's body in bytes.
	upload int
	// whole is set if the target reads the upload and ends the connection in order. Otherwise it resets the connection while
	// the upload is being written.
	whole bool
}

// start starts a target with this answer.
func (a earlyAnswer) start(t *testing.T, body string) *fakeTarget {
	t.Helper()
	return &fakeTarget{addr: listen.Conns(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", r.Header.Get("Id"), a.head, body)
		<-time.After(a.pause)
		if a.whole {
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	})}
}

// targetSocketBytes is the size of the buffers of connections to targets, as on small boxes.
const targetSocketBytes = 32 << 10

// uploadSizes are the sizes of the requests' bodies in bytes: just above what is written before the answer is read, some times the
// buffers of the connection to the target, and the limit of a body.
var uploadSizes = []int{9 << 10, 100 << 10, 1 << 20}

// callWithUpload sends a request with a body of some bytes.
func (s *setup) callWithUpload(t *testing.T, size int) response {
	t.Helper()
	dialer, closeDialer := reach.New(reach.Parts{
		Timeout: relay.DefaultConnLimits.Dial, Logger: log.NewNopLogger(), Clock: time.Now,
		Direct: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err == nil {
				err = c.(*net.TCPConn).SetWriteBuffer(targetSocketBytes)
			}
			return c, err
		},
	})
	t.Cleanup(closeDialer)
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, dialer)
	t.Cleanup(closeConns)
	s.handler.Sender = conns
	got, _ := s.call(t, "POST", "/", strings.Repeat("x", size))
	return got
}

// earlyAnswers calls a test with early answers of each kind to callers of each route.
func earlyAnswers(t *testing.T, whole bool, test func(t *testing.T, a earlyAnswer, route func(*match.Route), body string)) {
	t.Helper()
	routes := map[string]func(*match.Route){
		"may not be repeated": nil, "may be repeated": repeatableRoute, "stream": plainStream, "stream that may be resumed": resumableRoute,
	}
	for name, route := range routes {
		for _, head := range []string{"", "Connection: close\r\n"} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
				for _, size := range uploadSizes {
					t.Run(fmt.Sprint(name, "/", strings.TrimSpace(head), "/", pause, "/", size), func(t *testing.T) {
						t.Parallel()
						body := "part of the answer"
						if strings.HasPrefix(name, "stream") {
							body = eventText(1, 3)
						}
						test(t, earlyAnswer{head: head, pause: pause, upload: size, whole: whole}, route, body)
					})
				}
			}
		}
	}
}

// An answer without a marked end must not look complete if its target has reset the connection while the request was still
// being written: the kernel reports the reset once, and then an end in order to whoever reads.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	earlyAnswers(t, false, func(t *testing.T, a earlyAnswer, route func(*match.Route), body string) {
		s := newSetup(t, newRoute(route), a.start(t, body))
		if got := s.callWithUpload(t, a.upload); got.Status == http.StatusOK && !got.Truncated {
			t.Errorf("%d bytes ended as a complete answer", len(got.Body))
		}
	})
}

// The same answer must be whole if its target reads the request and ends the connection in order.
func TestEarlyAnswerThatEndsInOrderIsComplete(t *testing.T) {
	earlyAnswers(t, true, func(t *testing.T, a earlyAnswer, route func(*match.Route), body string) {
		s := newSetup(t, newRoute(func(r *match.Route) {
			if route != nil {
				route(r)
			}
			r.Objective, r.GapObjective = time.Second, time.Second
		}), a.start(t, body))
		got := s.callWithUpload(t, a.upload)
		if diff := cmp.Diff(response{Status: http.StatusOK, Body: body}, got); diff != "" {
			t.Error(diff)
		}
	})
}
