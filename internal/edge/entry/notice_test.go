package entry

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// notices returns the backoff and draining reports that reached the finder.
func (f *finder) notices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, r := range f.reports {
		if strings.HasPrefix(r, "backoff ") || strings.HasPrefix(r, "leaving ") {
			out = append(out, r)
		}
	}
	return out
}

// Backoff and draining state are taken from any answer of the target itself, whether it is
// forwarded or not. They must not be taken from an answer to another request, or from another
// target that now uses the address.
func TestNoticesFromAnswers(t *testing.T) {
	const leavingHeader, backoffHeader = "Leaving: 1\r\n", "Not-Run: full\r\nRetry-After: 3\r\n"
	backoff := "backoff t0 3s"
	cases := map[string]struct {
		first responder
		want  []string
	}{
		"served":                             {answer(200, leavingHeader, "x"), []string{"leaving t0"}},
		"failed":                             {answer(500, leavingHeader, "x"), []string{"leaving t0"}},
		"rejected":                           {answer(503, leavingHeader+backoffHeader, ""), []string{"leaving t0", backoff}},
		"rejected permanently":               {answer(429, backoffHeader, ""), nil},
		"served with Retry-After":            {answer(200, "Retry-After: 3\r\n", "x"), nil},
		"failed with Retry-After":            {answer(503, "Retry-After: 3\r\n", "x"), []string{backoff}},
		"from another target at the address": {answer(421, leavingHeader+"Not-Run: 1\r\n", ""), nil},
		"rejected by a brittle target":       {answer(503, "Brittle: 1\r\nNot-Run: full\r\n", ""), []string{"backoff t0 1s"}},
		"rejected by one, not for its room":  {answer(429, "Brittle: 1\r\nNot-Run: full\r\n", ""), nil},
		"served by a brittle target":         {answer(200, "Brittle: 1\r\n", "x"), nil},
		"to another request": {func(w *bufio.Writer, r *http.Request) bool {
			writeResponse(w, "other", 503, leavingHeader+backoffHeader, "")
			writeResponse(w, r.Header.Get("Id"), 200, "", "x")
			return true
		}, nil},
	}
	for name, c := range cases {
		route := newRoute(func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 2 })
		s := newSetup(t, route, newFakeTarget(t, c.first), newFakeTarget(t, answer(200, "", "x")))
		if got, _ := s.call(t, "GET", "/", ""); got.Status != 200 {
			t.Errorf("%s: the caller got %+v, want the second target's answer", name, got)
		}
		if diff := cmp.Diff(c.want, s.finder.notices(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// silenceCounter counts the targets that are reported as silent.
type silenceCounter struct {
	Sender
	addrs chan string
}

// ReportSilent implements Sender.
func (c silenceCounter) ReportSilent(addr string) { c.addrs <- addr }

// Guards against requests that wait on dead connections while the path to their targets is lost: a
// target that is silent to all requests has its path checked.
func TestSilentTargetHasItsPathChecked(t *testing.T) {
	proceed := make(chan struct{})
	target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
		<-proceed
		writeResponse(w, r.Header.Get("Id"), 200, "", "x")
		return true
	})
	s := newSetup(t, newRoute(nil), target)
	s.finder.silent = true
	counter := silenceCounter{Sender: s.handler.Sender, addrs: make(chan string, 1)}
	s.handler.Sender = counter
	go func() {
		defer close(proceed)
		if got := <-counter.addrs; got != target.addr {
			t.Errorf("the path to %s is checked, want %s", got, target.addr)
		}
	}()
	if got, _ := s.call(t, "GET", "/", ""); got.Status != 200 {
		t.Errorf("the caller got %+v", got)
	}
}
