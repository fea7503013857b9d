package entry

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/scarce"
)

// respondAndClose answers a request and closes the connection.
func respondAndClose(w *bufio.Writer, r *http.Request) bool {
	writeResponse(w, r.Header.Get("Id"), http.StatusOK, "Connection: close\r\n", "ok")
	return false
}

// A router that has no free file descriptor must not report its targets as unreachable. Each
// failed connect ("too many open files") excludes a target from new work: with 419 such attempts
// in a second, spread evenly over all targets, two of 18 engines got all requests, far above their
// bound.
func TestDescriptorExhaustionIsNotTargetFailure(t *testing.T) {
	s := newSetup(t, newRoute(nil), newFakeTarget(t, respondAndClose), newFakeTarget(t, respondAndClose))
	if answer, _ := s.call(t, "GET", "/", ""); answer.Status != http.StatusOK {
		t.Fatalf("status %d with free descriptors", answer.Status)
	}
	scarce.ExhaustDescriptors(t)
	answer, header := s.call(t, "GET", "/", "")
	if answer.Status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 with a Retry-After delay", answer.Status)
	}
	s.finder.mu.Lock()
	defer s.finder.mu.Unlock()
	// A cancelled request gives no evidence about its target.
	if diff := cmp.Diff([]string{"ok true", "cancelled"}, s.finder.reports); diff != "" {
		t.Error(diff)
	}
}
