package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// targetProcess is a leaving target with the connections of a process. It sends streams without a marked end.
type targetProcess struct {
	listener net.Listener
	// quiet is set if its answers do not say that it is leaving.
	quiet bool
	// stream writes the events of an answer.
	stream func(p *targetProcess, w io.Writer)
	// accepted is called with the number of connections so far; it may be nil.
	accepted func(p *targetProcess, count int)

	mu sync.Mutex
	// conns contains the open connections, with whether a request was received on them.
	conns map[net.Conn]bool
}

// start accepts connections, and returns the target.
func (p *targetProcess) start(t *testing.T) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.listener, p.conns = l, map[net.Conn]bool{}
	t.Cleanup(func() { p.stop(true) })
	go p.accept()
	return &fakeTarget{addr: l.Addr().String(), closed: make(chan struct{}, 1)}
}

// accept serves connections until the listener is closed.
func (p *targetProcess) accept() {
	for count := 1; ; count++ {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.set(c, false)
		go p.serve(c)
		if p.accepted != nil {
			p.accepted(p, count)
		}
	}
}

// set records a connection.
func (p *targetProcess) set(c net.Conn, hasRequest bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = hasRequest
}

// serve answers one request.
func (p *targetProcess) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	p.set(c, true)
	leaving := "Leaving: 1\r\n"
	if p.quiet {
		leaving = ""
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"), leaving)
	p.stream(p, c)
	_ = c.Close()
}

// stop closes the listener and its connections: all of them, as the kernel does for a process that was taken away, or
// only those without a request.
func (p *targetProcess) stop(all bool) {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, hasRequest := range p.conns {
		if all || !hasRequest {
			_ = c.Close()
		}
	}
}

// sendSlowly writes events with a pause after each.
func sendSlowly(w io.Writer, from, to int, pause time.Duration) {
	for i := from; i <= to; i++ {
		_, _ = io.WriteString(w, eventText(i, i))
		<-time.After(pause)
	}
}

// A whole stream without a marked end must not be reset because its target, which leaves as planned, has closed its listener
// a moment before the end and lives on, whether or not it closes its idle connections with the listener.
func TestStreamThatEndsSoonAfterItsTargetStopsAcceptingIsComplete(t *testing.T) {
	const others = 3
	for name, stop := range map[string]func(*targetProcess){
		"keeps idle connections":  func(p *targetProcess) { _ = p.listener.Close() },
		"closes idle connections": func(p *targetProcess) { p.stop(false) },
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			streams := 0
			p := &targetProcess{stream: func(p *targetProcess, w io.Writer) {
				mu.Lock()
				streams++
				n := streams
				mu.Unlock()
				if n <= others {
					// These go on for long after the listener is closed.
					sendSlowly(w, 1, 30, leavingPause)
					return
				}
				sendSlowly(w, 1, leavingEvents/2, leavingPause)
				stop(p)
				sendSlowly(w, leavingEvents/2+1, leavingEvents, leavingPause)
			}}
			s := newSetup(t, newRoute(plainStream), p.start(t))
			var running sync.WaitGroup
			for range others {
				running.Go(func() { _ = s.callRaw(t, "POST", "HTTP/1.1") })
				<-time.After(leavingPause)
			}
			got := s.callRaw(t, "POST", "HTTP/1.1")
			running.Wait()
			if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, leavingEvents)}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A stream without a marked end that is cut because its target is taken away must not look complete if the router is just
// checking whether the target accepts connections: that it does not any more by the end of the check shows nothing.
func TestStreamOfATargetKilledDuringTheCheckIsNotComplete(t *testing.T) {
	for checks := 2; checks <= 3; checks++ {
		t.Run(fmt.Sprint("connection ", checks), func(t *testing.T) {
			p := &targetProcess{
				stream: func(_ *targetProcess, w io.Writer) { sendSlowly(w, 1, 1<<10, leavingPause/4) },
				accepted: func(p *targetProcess, count int) {
					if count == checks {
						<-time.After(leavingPause / 4)
						p.stop(true)
					}
				},
			}
			s := newSetup(t, newRoute(plainStream), p.start(t))
			if got := s.callRaw(t, "POST", "HTTP/1.1"); !got.Broken {
				t.Errorf("the stream ended in order after %d bytes", len(got.Body))
			}
		})
	}
}

// A whole plain answer without a marked end must not be reset because its target, which was told to leave during the answer, has
// closed its listener before the end.
func TestPlainAnswerOfATargetThatBeginsToLeaveIsComplete(t *testing.T) {
	for name, size := range map[string]int{"short": 1 << 10, "long": maxBufferedAnswer} {
		t.Run(name, func(t *testing.T) {
			var s *setup
			part := strings.Repeat("x", size)
			p := &targetProcess{quiet: true, stream: func(p *targetProcess, w io.Writer) {
				_, _ = io.WriteString(w, part)
				<-time.After(leavingPause)
				s.finder.record("leaving t0")
				_, _ = io.WriteString(w, part)
				// The router makes its probe meanwhile.
				<-time.After(2 * teardownTime)
				_ = p.listener.Close()
				_, _ = io.WriteString(w, part)
			}}
			s = newSetup(t, newRoute(nil), p.start(t))
			got := s.callRaw(t, "POST", "HTTP/1.1")
			want := rawResponse{Status: 200, Body: part + part + part}
			if got.Body != want.Body || got.Status != want.Status || got.Broken {
				t.Errorf("status %d, %d of %d bytes, broken %t", got.Status, len(got.Body), len(want.Body), got.Broken)
			}
		})
	}
}

// A stream without a marked end must not look complete if its target ends without notice and is not listed any more by the time at
// which its last events are read: that nothing listens then shows no planned end.
func TestStreamOfATargetThatEndsAsItsRowGoesIsNotComplete(t *testing.T) {
	var s *setup
	p := &targetProcess{quiet: true, stream: func(p *targetProcess, w io.Writer) {
		sendSlowly(w, 1, leavingEvents/2, leavingPause)
		s.finder.record("leaving t0")
		_ = p.listener.Close()
		_, _ = io.WriteString(w, eventText(leavingEvents/2+1, leavingEvents/2+1))
		<-time.After(leavingPause)
		p.stop(true)
	}}
	s = newSetup(t, newRoute(plainStream), p.start(t))
	if got := s.callRaw(t, "POST", "HTTP/1.1"); !got.Broken {
		t.Errorf("the stream ended in order after %d bytes", len(got.Body))
	}
}
