package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"valescale/internal/edge/front"
	"valescale/internal/edge/relay"
)

// Guards against a broken stream whose framing ends as if it were complete on the product's own interface: a
// caller that does not look for the end mark takes it for whole.
func TestBrokenStreamIsCutOff(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(target.Close)
	sender, closeSender := relay.New(relay.DefaultLimits)
	t.Cleanup(closeSender)
	p := fakeParts{relay: sender, addr: target.Listener.Addr().String()}
	router := httptest.NewServer(newFront(t, &p))
	t.Cleanup(router.Close)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, router.URL+front.ChatPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer bogota")
	r.Header.Set("Last-Event-Id", relay.Keys{make([]byte, 32)}.Seal("bogota", relay.Token{Target: "known", Incarnation: 1, Stream: "s"}))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the stream ended as complete with %q", body)
	}
}
