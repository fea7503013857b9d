package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/match"
)

// leavingTarget describes a target that leaves while it sends a stream without a marked end.
type leavingTarget struct {
	// says is set if the head of its answer says that it is leaving.
	says bool
	// between is called between the first and the second half of the events.
	between func(l net.Listener)
	// stops is set if it accepts no connections any more after the first half, and then finishes the stream. Otherwise its
	// process ends after the second half, of which the last events are missing.
	stops bool
}

const (
	// leavingEvents is the number of events that a leavingTarget sends.
	leavingEvents = 6
	// leavingPause is the pause between the events of a leavingTarget.
	leavingPause = 20 * time.Millisecond
)

// newLeavingStream starts the target.
func newLeavingStream(t *testing.T, c leavingTarget) *fakeTarget {
	t.Helper()
	return newTargetProcess(t, func(target *fakeTarget, l net.Listener, conn net.Conn) {
		target.serve(conn, func(w *bufio.Writer, r *http.Request) bool {
			says := ""
			if c.says {
				says = "Leaving: 1\r\n"
			}
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"), says)
			for i := 1; i <= leavingEvents; i++ {
				_, _ = w.WriteString(eventText(i, i))
				_ = w.Flush()
				if i == leavingEvents/2 {
					if c.between != nil {
						c.between(l)
					}
					if c.stops {
						_ = l.Close()
						// The next look at a leaving target comes within this time.
						<-time.After(acceptingInterval)
					}
				}
				<-time.After(leavingPause)
			}
			_ = l.Close()
			return false
		})
	})
}

// A stream without a marked end must not look complete when the process of its target ends with it, although the target is
// leaving or not listed any more: a target that is taken away ends with the work that it has.
func TestStreamCutByALeavingTargetIsNotComplete(t *testing.T) {
	for name, says := range map[string]bool{"says so with its answer": true, "is known to leave during its answer": false} {
		t.Run(name, func(t *testing.T) {
			var s *setup
			target := newLeavingStream(t, leavingTarget{says: says, between: func(net.Listener) { s.finder.record("leaving t0") }})
			s = newSetup(t, newRoute(plainStream), target)
			got := s.callRaw(t, "POST", "HTTP/1.1")
			if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, leavingEvents), Broken: true}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The same stream must go on at another target if it may be resumed.
func TestStreamCutByALeavingTargetGoesOn(t *testing.T) {
	const all = leavingEvents + 2
	s := newSetup(t, newRoute(resumableRoute), newLeavingStream(t, leavingTarget{says: true}), newFakeTarget(t, unmarked(eventText(leavingEvents+1, all))))
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, all)}, got); diff != "" {
		t.Error(diff)
	}
}

// A whole stream of a leaving target that has stopped accepting connections before its last events must be delivered as whole:
// a planned end closes the listener first.
func TestStreamFinishedByALeavingTargetIsComplete(t *testing.T) {
	for name, route := range map[string]func(*match.Route){"not repeatable": plainStream, "may be resumed": resumableRoute} {
		t.Run(name, func(t *testing.T) {
			other := newFakeTarget(t, unmarked(""))
			s := newSetup(t, newRoute(func(r *match.Route) {
				route(r)
				r.GapObjective = time.Second
			}), newLeavingStream(t, leavingTarget{says: true, stops: true}), other)
			got := s.callRaw(t, "POST", "HTTP/1.1")
			if diff := cmp.Diff(rawResponse{Status: 200, Body: eventText(1, leavingEvents)}, got); diff != "" {
				t.Error(diff)
			}
			if other.count() != 0 {
				t.Error("a whole stream was resumed at another target")
			}
		})
	}
}
