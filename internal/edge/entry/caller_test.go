package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request whose caller disconnected before it was read must reach no target. A router that was
// frozen or is short of CPU time finds such requests in its connections.
func TestDisconnectedCallersReachNoTarget(t *testing.T) {
	target := newFakeTarget(t, answer(200, "", "ok"))
	s := newSetup(t, newRoute(nil), target)
	// Open a connection to the target first, so that only the disconnect can keep the requests
	// from it.
	if got, _ := s.call(t, "GET", "/", ""); got.Status != 200 {
		t.Fatalf("got %+v", got)
	}
	before := target.count()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 100
	for i := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nId: caller-%d\r\nKey: k\r\n\r\n", i)
		_ = c.Close()
	}
	server := &http.Server{Handler: s.handler, ConnContext: WithConn}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	ended := func() int {
		s.recorder.mu.Lock()
		defer s.recorder.mu.Unlock()
		return len(s.recorder.reasons)
	}
	deadline := time.After(5 * time.Second)
	for ended() < callers+1 {
		select {
		case <-deadline:
			t.Fatalf("%d of %d requests ended", ended()-1, callers)
		case <-time.After(time.Millisecond):
		}
	}
	if got := target.count() - before; got != 0 {
		t.Errorf("%d requests of disconnected callers reached the target", got)
	}
}
