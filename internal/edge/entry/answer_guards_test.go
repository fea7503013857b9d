package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/share/origin"
)

// Guards against a resumed stream that counts as broken although its caller had all events, so that the
// target had none to send.
func TestResumedStreamMayEndWithoutAnEvent(t *testing.T) {
	for _, c := range []struct {
		name    string
		headers []string
		want    int
	}{
		{"first request", nil, http.StatusBadGateway},
		{"resumed", []string{"Last-Event", "5", "Resumes", "first"}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newVersionSetup(t, newRoute(plainStream), "v1", newFakeTarget(t, unmarked("")))
			s.handler.Origins = &fixedOrigins{found: origin.Found{Origin: origin.Origin{Service: "s", Version: "v1"}, Source: origin.Own}}
			status, _ := callWith(t, s.url, append(c.headers, "Id", "caller-1")...)
			if diff := cmp.Diff(c.want, status); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a long answer that ends in order although its target crashed and nothing marked its end.
func TestLongUnmarkedAnswerOfATargetThatEndedIsCutOff(t *testing.T) {
	body := strings.Repeat("x", 2*maxBufferedAnswer)
	for _, c := range []struct {
		name   string
		target *fakeTarget
		broken bool
	}{
		{"crashed", newCrashingTarget(t, body), true},
		{"running", newFakeTarget(t, unmarked(body)), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := newSetup(t, newRoute(nil), c.target).callRaw(t, "POST", "HTTP/1.1")
			if got.Status != http.StatusOK || got.Body != body || got.Broken != c.broken {
				t.Errorf("status %d, %d of %d bytes, broken %v, want %v", got.Status, len(got.Body), len(body), got.Broken, c.broken)
			}
		})
	}
}

// Guards against a length that the target did not send: an answer to HEAD has no body that could be measured.
func TestAnswerToHeadHasTheLengthOfItsTarget(t *testing.T) {
	for _, length := range []string{"", "7"} {
		target := newFakeTarget(t, func(w *bufio.Writer, r *http.Request) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n", r.Header.Get("Id"))
			if length != "" {
				_, _ = fmt.Fprintf(w, "Content-Length: %s\r\n", length)
			}
			_, _ = w.WriteString("\r\n")
			return false
		})
		// The HTTP server would remove an invalid length, and log it.
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodHead, "/", nil)
		r.Host = "h"
		r.Header.Set("Id", "caller-1")
		r.Header.Set("Key", "k")
		newSetup(t, newRoute(nil), target).handler.ServeHTTP(w, r)
		if diff := cmp.Diff(http.StatusOK, w.Code); diff != "" {
			t.Errorf("length %q: %s", length, diff)
		}
		if diff := cmp.Diff(length, w.Header().Get("Content-Length")); diff != "" {
			t.Errorf("length %q: %s", length, diff)
		}
	}
}

// Guards against events that a caller of a marked answer loses to a reset: the missing end shows the break, so
// the connection is closed in order and the rest of the data arrives.
func TestMarkedAnswerIsCutOffWithoutAReset(t *testing.T) {
	s := newSetup(t, newRoute(plainStream), newFakeTarget(t, streamEvents(1, 3, 5)))
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("the connection ended with %v, want an end in order", err)
	}
	if strings.HasSuffix(string(got), "0\r\n\r\n") || !strings.Contains(string(got), "piece 3") {
		t.Errorf("the caller got %q, want three events and no last chunk", got)
	}
}

// Guards against a whole stream that is cut off because two targets sent it, neither with a marked end.
func TestUnmarkedStreamWithUnmarkedRestEndsInOrder(t *testing.T) {
	first := newFakeTarget(t, unmarked(eventText(1, 3)+"id: 4\ndata: pie"))
	s := newSetup(t, newRoute(resumableRoute), first, newFakeTarget(t, unmarked(eventText(4, 5))))
	got := s.callRaw(t, "POST", "HTTP/1.1")
	if diff := cmp.Diff(rawResponse{Status: http.StatusOK, Body: eventText(1, 5)}, got); diff != "" {
		t.Error(diff)
	}
}
