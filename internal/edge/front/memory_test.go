package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/front"
	"valescale/internal/edge/relay"
	"valescale/internal/plat/memory"
)

// occupied returns an account of which a part is free.
func occupied(free memory.Bytes) *memory.Account {
	account := memory.New(memory.MB, time.Now)
	account.Open(memory.Bodies, memory.Owner{}).Add(memory.MB - free)
	return account
}

// Bodies that a box has no memory for must be refused with a time to return, truly not run, whether or not their length is
// known.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"with a length":  strings.NewReader(strings.Repeat("x", 900)),
		"without length": io.MultiReader(strings.NewReader(strings.Repeat("x", 900))),
	} {
		for _, path := range []string{front.ChatPath, "/orders"} {
			p := &fakeParts{memory: occupied(1 * memory.KB)}
			w := call(newFront(t, p), "POST", path, body, "bogota", "k")
			got := []any{w.Code, w.Header().Get(front.OutcomeHeader), w.Header().Get("Retry-After") != "", strings.Contains(w.Body.String(), string(front.CodeNoMemory)), p.sent}
			if diff := cmp.Diff([]any{http.StatusServiceUnavailable, "not_run", true, true, 0}, got); diff != "" {
				t.Errorf("%s, %s: %s", name, path, diff)
			}
		}
	}
}

// An answer that the box has no memory for must end as such. It may have run, and no other target is asked for another
// answer without room.
func TestAnswerWithoutMemoryIsNotRequestedAgain(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
	}))
	defer target.Close()
	sender, closeSender := relay.New(relay.DefaultLimits)
	defer closeSender()
	p := &fakeParts{memory: occupied(20 * memory.KB), relay: sender, addr: target.Listener.Addr().String()}
	w := call(newFront(t, p), "GET", "/pages", nil, "bogota", "")
	got := []any{w.Code, w.Header().Get(front.OutcomeHeader), strings.Contains(w.Body.String(), string(front.CodeNoMemory)), p.sent}
	if diff := cmp.Diff([]any{http.StatusBadGateway, "unknown", true, 1}, got); diff != "" {
		t.Error(diff)
	}
}
