package reach

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/relay"
)

// earlyPart is what an early answer brings.
const earlyPart = "part of the answer"

// earlyAnswerThroughAPeer sends a request that no buffers of a connection can hold to a target that only a peer reaches, and that
// answers without a marked end after the head of the request. It returns the body of the answer.
func earlyAnswerThroughAPeer(t *testing.T, end func(c net.Conn, r *http.Request)) ([]byte, error) {
	t.Helper()
	f := newFleet(t, 2, 0)
	addr := startTarget(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+earlyPart)
		end(c, r)
	})
	f.targets = append(f.targets, addr)
	f.routers[0].cutFrom([]string{addr}, false)
	conns, closeConns := relay.NewConns(relay.DefaultConnLimits, f.routers[0].dialer)
	defer closeConns()
	answer, err := conns.Send(t.Context(), relay.Exchange{
		Addr: addr, Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, 16<<20)},
		Matches: func(http.Header) bool { return true },
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if answer.Via() == "" {
		t.Fatal("the answer came directly")
	}
	return io.ReadAll(answer)
}

// An answer without a marked end that comes through a peer must not look complete if its target has reset the connection
// while the peer was still writing the request.
func TestEarlyAnswerThroughAPeerThatIsResetIsNotComplete(t *testing.T) {
	// Which goroutine of the peer is told of the reset is chance.
	const tries = 20
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		for range tries {
			got, err := earlyAnswerThroughAPeer(t, func(c net.Conn, _ *http.Request) {
				<-time.After(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			if err == nil {
				t.Errorf("reset after %v: %d bytes ended as complete", pause, len(got))
			}
		}
	}
}

// The same answer must be whole if its target reads the request and ends the connection in order.
func TestEarlyAnswerThroughAPeerThatEndsInOrderIsComplete(t *testing.T) {
	got, err := earlyAnswerThroughAPeer(t, func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(earlyPart, string(got)); diff != "" {
		t.Error(diff)
	}
}
