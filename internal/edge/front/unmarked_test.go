package front_test

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

	"valescale/internal/edge/front"
	"valescale/internal/edge/relay"
	"valescale/internal/fake/listen"
	"valescale/internal/rule/retry"
)

// rawTarget starts a target that answers each request with the same bytes and then closes the connection, in
// order or by a reset. It returns its address.
func rawTarget(t *testing.T, answer string, reset bool) string {
	t.Helper()
	return listen.Conns(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// rawAnswer is an answer as it arrives on a caller's connection.
type rawAnswer struct {
	Status  int
	Outcome retry.Outcome
	// Ended is set if a stream has its end mark, Failed if it has an error event or the answer is an error.
	Ended, Failed bool
}

// callRaw sends a request on a connection of its own.
func callRaw(t *testing.T, addr, method, path, protocol, body string) rawAnswer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "%s %s %s\r\nHost: h\r\nAuthorization: Bearer bogota\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		method, path, protocol, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return rawAnswer{}
	}
	data, err := io.ReadAll(resp.Body)
	text := string(data)
	got := rawAnswer{Status: resp.StatusCode, Outcome: retry.Outcome(resp.Header.Get(front.OutcomeHeader))}
	got.Ended = strings.Contains(text, "data: "+relay.EndMark+"\n\n")
	got.Failed = err != nil || got.Status >= http.StatusBadRequest || strings.Contains(text, "event: error\ndata: {")
	return got
}

// serveRaw serves callers in front of one raw target and returns the address for callers.
func serveRaw(t *testing.T, answer string, reset bool) string {
	t.Helper()
	sender, closeSender := relay.New(relay.DefaultLimits)
	t.Cleanup(closeSender)
	p := &fakeParts{relay: sender, addr: rawTarget(t, answer, reset)}
	server := httptest.NewServer(newFront(t, p))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const (
	chatBody   = `{"stream":true,"messages":[{"role":"user","content":"q"}]}`
	chatEvents = "data: {\"choices\":[]}\n\n"
	endEvent   = "data: " + relay.EndMark + "\n\n"
)

// encodings write an answer whose end is not marked, or of which a part is missing.
var encodings = map[string]func(body string) string{
	"without length or chunks": func(body string) string { return "\r\n" + body },
	"with a length":            func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+9, body) },
	"inside a chunk": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body)+9, body)
	},
	"before the length of a chunk": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	},
}

// Guards against broken answers of the product's own interface that reach their callers as complete: streams
// with the end mark, plain answers as a success.
func TestBrokenAnswersAreNotComplete(t *testing.T) {
	streams := map[string]string{
		"inside a line":            chatEvents + "data: {\"cho",
		"before the blank line":    chatEvents + "data: {}\n",
		"inside the blank line":    chatEvents + "data: {}\r\n\r",
		"between two events":       chatEvents,
		"inside the end mark":      chatEvents + "data: [DO",
		"before the mark's end":    chatEvents + "data: [DONE]\n",
		"after the id of the mark": chatEvents + "id: 4\n",
	}
	for encoding, encode := range encodings {
		for _, reset := range []bool{false, true} {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for name, body := range streams {
					t.Run(fmt.Sprint("stream ", encoding, ", ", name, ", reset ", reset, ", ", protocol), func(t *testing.T) {
						addr := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+encode(body), reset)
						got := callRaw(t, addr, "POST", front.ChatPath, protocol, chatBody)
						if got.Ended || !got.Failed || got.Outcome == retry.Done {
							t.Errorf("the caller got %+v, want an error and no end mark", got)
						}
					})
				}
				for _, path := range []string{"/pages", "/x"} {
					t.Run(fmt.Sprint("plain ", encoding, ", ", path, ", reset ", reset, ", ", protocol), func(t *testing.T) {
						got := callRaw(t, serveRaw(t, "HTTP/1.1 200 OK\r\n"+encode("some of it"), reset), "GET", path, protocol, "")
						if diff := cmp.Diff(rawAnswer{Status: 502, Outcome: retry.Unknown, Failed: true}, got); diff != "" {
							t.Error(diff)
						}
					})
				}
			}
		}
	}
}

// Guards against a broken stream that ends as complete when its caller takes it up again.
func TestBrokenResumedStreamsAreNotComplete(t *testing.T) {
	for encoding, encode := range encodings {
		t.Run(encoding, func(t *testing.T) {
			sender, closeSender := relay.New(relay.DefaultLimits)
			t.Cleanup(closeSender)
			p := &fakeParts{relay: sender, addr: rawTarget(t, "HTTP/1.1 200 OK\r\n"+encode(chatEvents), false)}
			got, aborted := resumeBroken(newFront(t, p))
			if strings.Contains(got, relay.EndMark) || !strings.Contains(got, "event: error\n") || !aborted {
				t.Errorf("the caller got %q (cut off: %v), want an error event, no end mark, and no last chunk", got, aborted)
			}
		})
	}
}

// resumeBroken resumes a stream that breaks off, and reports whether the handler cut the answer off.
func resumeBroken(h http.Handler) (body string, aborted bool) {
	recorder := httptest.NewRecorder()
	func() {
		defer func() { aborted = recover() == http.ErrAbortHandler }()
		h.ServeHTTP(recorder, resumeRequest())
	}()
	return recorder.Body.String(), aborted
}

// Guards against whole streams that are taken for broken because nothing but their end mark ends them.
func TestStreamsWithAnEndMarkAreWhole(t *testing.T) {
	for encoding, encode := range encodings {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(encoding+", "+protocol, func(t *testing.T) {
				addr := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+encode(chatEvents+endEvent), false)
				got := callRaw(t, addr, "POST", front.ChatPath, protocol, chatBody)
				if diff := cmp.Diff(rawAnswer{Status: 200, Ended: true}, got); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}
