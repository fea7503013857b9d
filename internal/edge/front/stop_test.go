package front_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/front"
	"valescale/internal/edge/relay"
	"valescale/internal/rule/retry"
)

// Guards against requests whose bodies become whole while the router stops, and that are run although it may end before their answers do.
func TestBodyThatIsWholeLateInAStopIsRefused(t *testing.T) {
	chat := `{"messages":[{"role":"user","content":"hello"}]}`
	for path, body := range map[string]string{"/x": "some text", "/pages": "some text", front.ChatPath: chat, front.ChatPath + "?stream": `{"stream":true,` + chat[1:]} {
		t.Run(path, func(t *testing.T) {
			var stopping atomic.Bool
			p := &fakeParts{stops: stopping.Load}
			server := httptest.NewServer(newFront(t, p))
			defer server.Close()
			in, out := io.Pipe()
			go func() {
				_, _ = io.WriteString(out, body[:5])
				stopping.Store(true)
				_, _ = io.WriteString(out, body[5:])
				_ = out.Close()
			}()
			r, err := http.NewRequest(http.MethodPost, server.URL+path, in)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", "Bearer bogota")
			r.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var problem struct{ Error struct{ Code front.Code } }
			if err := json.NewDecoder(resp.Body).Decode(&problem); err != nil {
				t.Fatal(err)
			}
			got := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(front.OutcomeHeader), " ", problem.Error.Code)
			if diff := cmp.Diff(fmt.Sprint(503, " ", retry.NotRun, " ", front.CodeStopping), got); diff != "" {
				t.Error(diff)
			}
			if p.sent != 0 || p.acquired != 0 {
				t.Errorf("%d attempts, %d targets sought", p.sent, p.acquired)
			}
		})
	}
}

// Guards against a request that is sent once more while the router stops, although the router may end before the answer: the
// attempts before it have taken longer than the router could know when it accepted the request.
func TestRequestIsNotRepeatedLateInAStop(t *testing.T) {
	chat := `{"messages":[{"role":"user","content":"hello"}]}`
	for path, body := range map[string]string{"/x": "some text", "/pages": "some text", front.ChatPath: chat} {
		t.Run(path, func(t *testing.T) {
			sender, closeSender := relay.New(relay.DefaultLimits)
			defer closeSender()
			// Nothing listens there, so that the request may be sent to another target whatever it is.
			p := &fakeParts{relay: sender, addr: "127.0.0.1:1"}
			p.stops = func() bool { return p.sent > 0 }
			server := httptest.NewServer(newFront(t, p))
			defer server.Close()
			r, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", "Bearer bogota")
			r.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(front.OutcomeHeader), ", attempts ", p.sent)
			if diff := cmp.Diff(fmt.Sprint(503, " ", retry.NotRun, ", attempts 1"), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
