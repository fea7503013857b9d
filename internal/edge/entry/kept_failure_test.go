package entry

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/memory"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// Guards against a target's own 5xx that is thrown away for another attempt which then gets no answer: for want of another target, or
// as that one rejects the request, loses it or accepts no connection.
func TestFailureIsKeptUntilAnotherTargetAnswers(t *testing.T) {
	chunked := func(w *bufio.Writer, r *http.Request) bool {
		_, _ = w.WriteString("HTTP/1.1 500 X\r\nId: " + r.Header.Get("Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n")
		return true
	}
	for framing, fail := range map[string]responder{"length": answer(500, "", "failed"), "chunks": chunked} {
		for name, others := range map[string][]*fakeTarget{
			"no other target":          nil,
			"rejected":                 {newFakeTarget(t, answer(503, "Not-Run: 1\r\n", ""))},
			"lost":                     {newFakeTarget(t, closeUnanswered)},
			"lost in the middle":       {newFakeTarget(t, sendAPart)},
			"accepts no connection":    {{addr: "127.0.0.1:1"}},
			"rejected, then none left": {newFakeTarget(t, answer(503, "Not-Run: 1\r\n", "")), newFakeTarget(t, closeUnanswered)},
		} {
			t.Run(framing+"/"+name, func(t *testing.T) {
				s := newSetup(t, newRoute(func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 3 }), append([]*fakeTarget{newFakeTarget(t, fail)}, others...)...)
				got, header := s.call(t, "POST", "/", "x")
				if diff := cmp.Diff(response{Status: 500, Body: "failed"}, got); diff != "" {
					t.Error(diff)
				}
				if length := header.Get("Content-Length"); length != "6" {
					t.Errorf("length %q", length)
				}
			})
		}
	}
}

// sendAPart sends a part of an answer and breaks off.
func sendAPart(w *bufio.Writer, r *http.Request) bool {
	_, _ = w.WriteString("HTTP/1.1 200 X\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 9\r\n\r\npart")
	return false
}

// Guards against a failure that takes the place of a better answer, or of a later failure.
func TestKeptFailureGivesWayToAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		serve []responder
		want  response
	}{
		"success":           {[]responder{answer(500, "", "failed"), answer(200, "", "fine")}, response{Status: 200, Body: "fine"}},
		"refusal":           {[]responder{answer(500, "", "failed"), answer(404, "", "none")}, response{Status: 404, Body: "none"}},
		"failure":           {[]responder{answer(500, "", "failed"), answer(502, "", "failed, too")}, response{Status: 502, Body: "failed, too"}},
		"two kept failures": {[]responder{answer(500, "", "failed"), answer(502, "", "failed, too"), closeUnanswered}, response{Status: 502, Body: "failed, too"}},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []*fakeTarget
			for _, serve := range c.serve {
				targets = append(targets, newFakeTarget(t, serve))
			}
			s := newSetup(t, newRoute(func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, len(targets) }), targets...)
			got, _ := s.call(t, "POST", "/", "x")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against kept failures whose memory is not returned.
func TestKeptFailureReturnsItsMemory(t *testing.T) {
	s := newSetup(t, newRoute(func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 2 }),
		newFakeTarget(t, answer(500, "", strings.Repeat("x", int(maxBufferedAnswer/2)))), newFakeTarget(t, closeUnanswered))
	before := s.handler.Memory.Usage().Used
	for range 5 {
		if got, _ := s.call(t, "POST", "/", "x"); got.Status != 500 {
			t.Errorf("status %d", got.Status)
		}
	}
	if used := s.handler.Memory.Usage().Used; used > before+memory.Bytes(maxBufferedAnswer/2) {
		t.Errorf("%d bytes are kept, %d before", used, before)
	}
}

// Guards against a failure whose body does not come and that holds the next attempt.
func TestLateFailureDoesNotHoldAnotherAttempt(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	stalled := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		_, _ = w.WriteString("HTTP/1.1 500 X\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 9\r\n\r\npart")
		_ = w.Flush()
		<-ended
		return false
	})
	s := newSetup(t, newRoute(func(r *match.Route) { r.Repeat, r.Attempts, r.Timeout = retry.Safe, 2, 20*time.Second }), stalled, newFakeTarget(t, answer(200, "", "fine")))
	began := time.Now()
	got, _ := s.call(t, "POST", "/", "x")
	if diff := cmp.Diff(response{Status: 200, Body: "fine"}, got); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("answered after %v", took)
	}
}
