package telem

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/entry"
)

// Guards against answers that broke off and are counted for another service or ending, or not at all.
func TestEndingsAreCountedByService(t *testing.T) {
	m := NewRouteMetrics(nil)
	m.AnswerEnded("s", entry.EndMarked)
	m.AnswerEnded("s", entry.EndMarked)
	m.AnswerEnded("s", entry.EndTargetGone)
	m.AnswerEnded("other", entry.EndMarked)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var got []string
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, "valescale_routed_endings_total{") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	want := []string{
		`valescale_routed_endings_total{ending="marked",service="other"} 1`,
		`valescale_routed_endings_total{ending="marked",service="s"} 2`,
		`valescale_routed_endings_total{ending="target_gone",service="s"} 1`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
