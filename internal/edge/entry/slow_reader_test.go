package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/match"
)

// testWriteTimeout is how long a write may make no progress in these tests.
const testWriteTimeout = 500 * time.Millisecond

// smallBuffer is the size in bytes of the buffers of a connection that holds little of an answer.
const smallBuffer = 16 << 10

// answerSize is the size in bytes of the answers of these tests, many times that of the buffers.
const answerSize = 225 << 10

// newSlowSetup returns a handler with a short write timeout and small buffers, and a caller of it whose request is sent.
func newSlowSetup(t *testing.T, stream bool) (*setup, net.Conn) {
	t.Helper()
	event := "id: 1\ndata: " + strings.Repeat("y", 1010) + "\n\n"
	target := newFakeTarget(t, answer(200, "Content-Type: text/event-stream\r\n", strings.Repeat(event, answerSize/len(event))))
	s := newSetup(t, newRoute(func(r *match.Route) { r.Stream, r.Timeout = stream, time.Minute }), target)
	s.handler.writeTimeout = testWriteTimeout
	return s, s.sendWithSmallBuffers(t)
}

// sendWithSmallBuffers sends a request over a connection with small buffers, and returns that.
func (s *setup) sendWithSmallBuffers(t *testing.T) net.Conn {
	t.Helper()
	server := httptest.NewUnstartedServer(s.handler)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		return WithConn(ctx, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
	_, _ = fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\nConnection: close\r\n\r\n")
	return c
}

// pacedReader reads at a limited rate.
type pacedReader struct {
	src io.Reader
	// pause is the time between two reads.
	pause time.Duration
}

func (r pacedReader) Read(p []byte) (int, error) {
	<-time.After(r.pause)
	return r.src.Read(p[:min(len(p), smallBuffer/4)])
}

// readAnswer reads an answer and returns the size of its body, and the error with which it ended.
func readAnswer(r io.Reader) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}

// Guards against callers that are cut off although they read all the time, since a write as a whole took too long.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			t.Parallel()
			s, c := newSlowSetup(t, stream)
			got, err := readAnswer(pacedReader{src: c, pause: testWriteTimeout / 20})
			if got != answerSize || err != nil {
				t.Errorf("the caller got %d of %d bytes and %v", got, answerSize, err)
			}
			if diff := cmp.Diff([]Reason{Served}, s.recorder.ended()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against plain answers that are recorded as served although their caller did not read them, and against
// connections that look complete then.
func TestUnreadPlainAnswerIsNotServed(t *testing.T) {
	t.Parallel()
	s, c := newSlowSetup(t, false)
	if diff := cmp.Diff([]Reason{Unread}, s.recorder.ended()); diff != "" {
		t.Error(diff)
	}
	if got, err := readAnswer(c); err == nil {
		t.Errorf("the answer looks complete after %d of %d bytes", got, answerSize)
	}
}

// Guards against callers that are cut off since this router itself stood still in the middle of a write.
func TestStandstillOfTheRouterIsNotThatOfItsCaller(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	w := newBlockedWriter()
	o := &output{w: w, control: http.NewResponseController(w), caller: &callerConn{Conn: c}, timeout: testWriteTimeout}
	watch := o.watch()
	<-time.After(testWriteTimeout / 2)
	// While the lock is held, the watch stands still as the router does.
	watch.mu.Lock()
	if _, err := c.Write([]byte("part of an answer")); err != nil {
		t.Fatal(err)
	}
	<-time.After(testWriteTimeout)
	watch.mu.Unlock()
	<-time.After(testWriteTimeout / 2)
	if watch.stop() {
		t.Error("the write was interrupted, though the caller had received a part meanwhile")
	}
}

// Guards against writes that go on for ever after their caller has stopped to receive.
func TestWriteWithoutProgressIsInterrupted(t *testing.T) {
	t.Parallel()
	w := newBlockedWriter()
	o := &output{w: w, control: http.NewResponseController(w), timeout: testWriteTimeout}
	began := time.Now()
	err := o.writeAll(make([]byte, answerSize))
	if diff := cmp.Diff(Unread, writeFailure(err)); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(began); took < testWriteTimeout || took > 4*testWriteTimeout {
		t.Errorf("the write ended after %v, want %v", took, testWriteTimeout)
	}
}

// A stream whose caller reads it steadily, more slowly than its target makes it, must not be cut, however much is left: the target
// waits. Nor must one whose single event is larger than the buffer of a caller.
func TestSteadyReaderOfALongStreamGetsAllOfIt(t *testing.T) {
	for name, c := range map[string]struct {
		count, size int
		pause       time.Duration
	}{"many events": {1500, 1000, 5 * time.Millisecond}, "a large event": {2, maxUnreadPerCaller + 1, 0}} {
		t.Run(name, func(t *testing.T) {
			target, _ := newStreamingTarget(t, c.count, c.size)
			s := newSetup(t, newRoute(func(r *match.Route) {
				resumableRoute(r)
				r.Timeout = time.Minute
			}), target, newFakeTarget(t, closeUnanswered))
			got, err := readAnswer(pacedReader{src: s.sendWithSmallBuffers(t), pause: c.pause})
			if least := c.count * c.size; got < least || err != nil || target.count() != 1 {
				t.Errorf("%d of more than %d bytes, %v, %d attempts", got, least, err, target.count())
			}
			if reports := s.finder.silentReports(); reports != 0 {
				t.Errorf("the target was reported as silent %d times", reports)
			}
		})
	}
}
