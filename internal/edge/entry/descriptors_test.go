package entry

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/scarce"
)

// answerOnce answers a request and closes the connection.
func respondAndClose(w *bufio.Writer, r *http.Request) bool {
	writeResponse(w, r.Header.Get("Id"), http.StatusOK, "Connection: close\r\n", "ok")
	return false
}

// Seen: routers that had as many connections open as they may sent their requests to two of 18
// engines, far above the bound. How: they could not open a socket, request after request.
// Cause: each was taken for a target that cannot be reached, which then got no new work.
// Proof: 419 attempts in a second ended with "too many open files", at all targets alike.
func TestDescriptorExhaustionIsNotTargetFailure(t *testing.T) {
	s := newSetup(t, newRoute(nil), newFakeTarget(t, respondAndClose), newFakeTarget(t, respondAndClose))
	if answer, _ := s.call(t, "GET", "/", ""); answer.Status != http.StatusOK {
		t.Fatalf("status %d with descriptors", answer.Status)
	}
	scarce.Descriptors(t)
	answer, header := s.call(t, "GET", "/", "")
	if answer.Status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d, want a refusal and a time to come back", answer.Status)
	}
	s.finder.mu.Lock()
	defer s.finder.mu.Unlock()
	// A request that is cancelled says nothing of its target.
	if diff := cmp.Diff([]string{"ok true", "cancelled"}, s.finder.reports); diff != "" {
		t.Error(diff)
	}
}
