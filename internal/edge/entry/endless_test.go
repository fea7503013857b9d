package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"valescale/internal/fake/listen"
	"valescale/internal/rule/match"
)

// endlessTarget reads one request on each connection and then sends a start and one unit after the other, until the
// connection is closed.
type endlessTarget struct {
	*fakeTarget
	// sent is the number of bytes that were written to connections.
	sent atomic.Int64
	// open is the number of connections that are not closed.
	open atomic.Int64
}

// tempo is how fast an endless target sends.
type tempo string

const (
	// flood is as fast as the connection takes it.
	flood tempo = "flood"
	// trickle is one unit each trickleInterval.
	trickle tempo = "trickle"
)

const (
	// trickleInterval is shorter than each idle timeout of the routes in these tests.
	trickleInterval = 20 * time.Millisecond
	// floodBlockSize is the size in bytes of one write of a flood.
	floodBlockSize = 32 << 10
	// targetSendBuffer limits what the kernel keeps of what a target has sent, in bytes.
	targetSendBuffer = 64 << 10
)

func newEndlessTarget(t *testing.T, e endless, speed tempo) *endlessTarget {
	t.Helper()
	target := &endlessTarget{fakeTarget: &fakeTarget{closed: make(chan struct{}, 16)}}
	target.addr = listen.Conns(t, func(c net.Conn) {
		target.open.Add(1)
		defer target.open.Add(-1)
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(targetSendBuffer)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		target.mu.Lock()
		target.headers = append(target.headers, r.Header)
		target.mu.Unlock()
		id := strings.NewReplacer("%s", r.Header.Get("Id"))
		target.send(c, id.Replace(e.start), id.Replace(e.unit), speed)
	})
	return target
}

// send writes the start and the units until a write fails.
func (t *endlessTarget) send(c net.Conn, start, unit string, speed tempo) {
	if !t.write(c, []byte(start)) {
		return
	}
	if speed == flood {
		unit = strings.Repeat(unit, 1+floodBlockSize/len(unit))
	}
	// A copy for each write would be garbage of the test, by hundreds of megabytes, on the heap that is measured.
	for block := []byte(unit); t.write(c, block); {
		if speed == trickle {
			<-time.After(trickleInterval)
		}
	}
}

func (t *endlessTarget) write(c net.Conn, text []byte) bool {
	n, err := c.Write(text)
	t.sent.Add(int64(n))
	return err == nil
}

// endless is what a target in trouble sends: a start and a unit without end. In both, %s stands for the id of the request.
type endless struct {
	name  string
	start string
	unit  string
	// progress is set if the units are those of an answer, which may go on until the end of the request.
	progress bool
	// whole is the body of a whole answer in the start, which the caller must get whatever follows it.
	whole string
}

const (
	lengthHead  = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
	chunkedHead = "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	eventsHead  = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent  = "id: 1\ndata: piece 1\n\n"
)

// asChunk returns a text as one chunk.
func asChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// endlessHeads never bring the head of an answer to the request.
var endlessHeads = []endless{
	{name: "status line", start: "HTTP/1.1 200 ", unit: "OK "},
	{name: "garbage", unit: "\x01garbage"},
	{name: "lines of garbage", unit: "\x01garbage\r\n"},
	{name: "header line", start: "HTTP/1.1 200 OK\r\nId: %s\r\nA: ", unit: "xxxxxxxx"},
	{name: "header fields", start: "HTTP/1.1 200 OK\r\nId: %s\r\n", unit: "A: xxxxx\r\n"},
	{name: "informational answers", unit: "HTTP/1.1 102 Processing\r\n\r\n"},
	{name: "informational answers of the request", unit: "HTTP/1.1 103 Early Hints\r\nId: %s\r\n\r\n"},
	{name: "answers below the informational ones", unit: "HTTP/1.1 000 None\r\n\r\n"},
	{name: "answers to others", unit: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok"},
	{name: "answer to another, in chunks", start: "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "1\r\nx\r\n"},
	{name: "answer to another, unmarked", start: "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", unit: "xxxxxxxx"},
	{name: "protocol that was not asked for", start: "HTTP/1.1 101 Switching Protocols\r\nId: %s\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n", unit: "xxxxxxxx"},
}

// endlessBodies follow the head of an answer.
var endlessBodies = []endless{
	{name: "chunk size", start: chunkedHead + asChunk("ok"), unit: "0"},
	{name: "chunk extension", start: chunkedHead + asChunk("ok") + "2;", unit: "x=y;"},
	{name: "garbage for a chunk", start: chunkedHead + asChunk("ok"), unit: "garbage "},
	{name: "trailer line", start: chunkedHead + asChunk("ok") + "0\r\nA: ", unit: "xxxxxxxx"},
	{name: "trailers", start: chunkedHead + asChunk("ok") + "0\r\n", unit: "A: xxxxx\r\n"},
	{name: "chunks with large extensions", start: chunkedHead, unit: "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n"},
	{name: "chunks", start: chunkedHead, unit: asChunk("x"), progress: true},
	{name: "unmarked body", start: "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", unit: "xxxxxxxx", progress: true},
	{name: "body beyond its length", start: lengthHead, unit: "x", whole: "ok"},
	{name: "answers beyond the answer", start: lengthHead, unit: "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", whole: "ok"},
	{name: "bytes beyond the last chunk", start: chunkedHead + asChunk("ok") + "0\r\n\r\n", unit: "x", whole: "ok"},
}

// endlessStreams follow the head of a stream.
var endlessStreams = []endless{
	{name: "event line", start: eventsHead + asChunk("id: 1\ndata: "), unit: asChunk("xxxxxxxx")},
	{name: "event", start: eventsHead + asChunk("id: 1\n"), unit: asChunk("data: x\n")},
	{name: "comment lines", start: eventsHead, unit: asChunk(":\n")},
	{name: "comments", start: eventsHead, unit: asChunk(": x\n\n")},
	{name: "blank lines", start: eventsHead, unit: asChunk("\n")},
	{name: "blank lines, CR", start: eventsHead, unit: asChunk("\r\n")},
	{name: "event line after an event", start: eventsHead + asChunk(firstEvent) + asChunk("id: 2\ndata: "), unit: asChunk("xxxxxxxx")},
	{name: "comment lines after an event", start: eventsHead + asChunk(firstEvent), unit: asChunk(":\n")},
	{name: "comments after an event", start: eventsHead + asChunk(firstEvent), unit: asChunk(": x\n\n")},
	{name: "blank lines after an event", start: eventsHead + asChunk(firstEvent), unit: asChunk("\n")},
	{name: "chunk extension after an event", start: eventsHead + asChunk(firstEvent) + "2;", unit: "x=y;"},
	{name: "trailers after an event", start: eventsHead + asChunk(firstEvent) + "0\r\n", unit: "A: xxxxx\r\n"},
}

// endlessRoute is a kind of route and the targets beside the one in trouble.
type endlessRoute struct {
	name   string
	change func(*match.Route)
	// spare is set if another target is there that answers.
	spare bool
	// repeats is set if the request may be sent to it.
	repeats bool
	stream  bool
}

// maxTrickles is how many trickles run at the same time; they mostly wait.
const maxTrickles = 24

// endlessTimeout is the timeout of the routes in these tests, many idle timeouts long.
const endlessTimeout = time.Second

var endlessRoutes = []endlessRoute{
	{name: "repeatable, another target", change: safeRoute, spare: true, repeats: true},
	{name: "repeatable, no other target", change: safeRoute, repeats: true},
	{name: "not repeatable", change: nil, spare: true},
	{name: "resumable stream, another target", change: resumableRoute, spare: true, repeats: true, stream: true},
	{name: "resumable stream, no other target", change: resumableRoute, repeats: true, stream: true},
	{name: "stream, not resumable", change: plainStream, spare: true, stream: true},
}

// endlessCases returns what targets of a route may send.
func (r endlessRoute) cases() []endless {
	if r.stream {
		return slices.Concat(endlessHeads, endlessStreams)
	}
	return slices.Concat(endlessHeads, endlessBodies)
}

// countedLines counts the lines of a log.
type countedLines struct{ lines atomic.Int64 }

// Log implements log.Logger.
func (c *countedLines) Log(...any) error {
	c.lines.Add(1)
	return nil
}

const (
	// maxTakenBytes is the most that may be taken from a target on one connection: an event and the body of a skipped
	// answer, and what the kernel keeps, which is at most the tcp_rmem of Linux.
	maxTakenBytes = maxEventBytes + 1<<20 + 6<<20
	// maxLinesPerAttempt are the failed attempt, its silence, and a target that sends nothing.
	maxLinesPerAttempt = 3
	// maxHeapGrowth is by how many bytes the heap may grow in a flood: by what a router may keep. The callers and targets of
	// the test allocate less than that, so their garbage cannot exceed it.
	maxHeapGrowth = uint64(testMemory)
	// connCloseTimeout is how long the close of a connection may take to reach its target.
	connCloseTimeout = 2 * time.Second
	// maxOverrun is how long after the timeout of its route a request may have its final answer.
	maxOverrun = 500 * time.Millisecond
)

// wholeStreamEvents is the number of events of the target that takes over a stream.
const wholeStreamEvents = 3

// newSpare returns a target that answers, and goes on with a stream.
func (r endlessRoute) newSpare(t *testing.T) *fakeTarget {
	if r.stream {
		return newFakeTarget(t, streamEvents(1, wholeStreamEvents, wholeStreamEvents))
	}
	return newFakeTarget(t, answer(200, "", "body"))
}

// isWhole reports whether a body is the whole one of an answer.
func (r endlessRoute) isWhole(e endless, body string) bool {
	switch {
	case e.whole != "":
		return body == e.whole
	case r.stream:
		return withoutComments(body) == eventText(1, wholeStreamEvents)
	default:
		return body == "body"
	}
}

// withoutComments returns the events of a stream without comments and surplus blank lines, which are none.
func withoutComments(body string) string {
	var out strings.Builder
	for event := range splitEvents([]byte(body)) {
		if text := strings.TrimLeft(string(event), "\r\n"); text != "" && text[0] != ':' {
			out.WriteString(text)
		}
	}
	return out.String()
}

// Guards against targets in trouble that send bytes without end which are no answer: a caller that waits beyond the time
// of its route, or gets them as a success, a request that runs twice, a connection that stays open, and bytes that are
// taken without limit.
func TestEndlessBytesAreNoAnswer(t *testing.T) {
	goroutines := runtime.NumGoroutine()
	for _, r := range endlessRoutes {
		for _, e := range r.cases() {
			t.Run(fmt.Sprint(r.name, "/", e.name, "/flood"), func(t *testing.T) { checkEndless(t, r, e, flood) })
		}
	}
	var trickles sync.WaitGroup
	room := make(chan struct{}, maxTrickles)
	for _, r := range endlessRoutes {
		for _, e := range r.cases() {
			trickles.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				t.Run(fmt.Sprint(r.name, "/", e.name, "/trickle"), func(t *testing.T) { checkEndless(t, r, e, trickle) })
			})
		}
	}
	trickles.Wait()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	for end := time.Now().Add(memoryReturnTimeout); runtime.NumGoroutine() > goroutines; <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), goroutines)
		}
	}
}

// checkEndless sends a request to a target that sends bytes without end.
func checkEndless(t *testing.T, r endlessRoute, e endless, speed tempo) {
	target := newEndlessTarget(t, e, speed)
	targets := []*fakeTarget{target.fakeTarget}
	if r.spare {
		targets = append(targets, r.newSpare(t))
	}
	s := newSetup(t, newRoute(func(m *match.Route) {
		m.Timeout = endlessTimeout
		if r.change != nil {
			r.change(m)
		}
	}), targets...)
	lines := &countedLines{}
	s.handler.Logger = lines
	stopHeap := func() uint64 { return 0 }
	if speed == flood {
		// Trickles run at the same time, and share the heap.
		stopHeap = watchHeap()
	}
	began := time.Now()
	got := s.callShort(t, "caller-1")
	took := time.Since(began)
	if grown := stopHeap(); grown > maxHeapGrowth {
		t.Errorf("the heap grew by %d bytes", grown)
	}

	if took > endlessTimeout+maxOverrun {
		t.Errorf("the answer took %v", took)
	}
	r.checkAnswer(t, e, got)
	r.checkAttempts(t, targets)
	if failed := slices.Contains(s.finder.reported(), "ok false"); failed != (e.whole == "") {
		t.Errorf("reports %v", s.finder.reported())
	}
	if got := lines.lines.Load(); got > int64(1+maxLinesPerAttempt*len(targets)) {
		t.Errorf("%d log lines", got)
	}
	if e.whole != "" {
		r.checkNext(t, e, s.callShort(t, "caller-2"))
	}
	if open := s.awaitClosed(target); open != 0 {
		t.Errorf("%d connections to the target stay open", open)
	}
	if sent, conns := target.sent.Load(), target.count(); !e.progress && sent > int64(conns)*maxTakenBytes {
		t.Errorf("%d bytes were taken from the target on %d connections", sent, conns)
	}
}

// checkNext checks the answer to a request that follows a whole answer, beyond which its target has sent bytes. If they
// arrive together with the request, it may have run.
func (r endlessRoute) checkNext(t *testing.T, e endless, got response) {
	t.Helper()
	whole := got.Status == http.StatusOK && (got.Body == e.whole || got.Body == "body")
	failed := got.Status == http.StatusBadGateway || got.Status == http.StatusGatewayTimeout
	if got.Truncated || !whole && !failed {
		t.Errorf("the next request got status %d, truncated %t, body %.100q", got.Status, got.Truncated, got.Body)
	}
}

// heapInterval is the interval at which the size of the heap is measured.
const heapInterval = 5 * time.Millisecond

// watchHeap measures the heap until the returned function is called, which returns by how many bytes it grew.
func watchHeap() (stop func() uint64) {
	runtime.GC()
	before := heapSize()
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most := before
		for {
			select {
			case <-done:
				peak <- most - before
				return
			case <-time.After(heapInterval):
				most = max(most, heapSize())
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

// heapSize returns the size of the objects on the heap in bytes, with those that are not collected yet.
func heapSize() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// maxKeptBody is how much of an answer a caller keeps, in bytes. It reads the rest as well.
const maxKeptBody = 2 << 20

// callShort sends a request and keeps only the first part of a long answer.
func (s *setup) callShort(t *testing.T, id string) response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.url+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{Truncated: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptBody))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return response{Status: resp.StatusCode, Body: string(body), Truncated: err != nil}
}

// checkAnswer checks that the caller got a whole answer where one can be had, and otherwise a failure.
func (r endlessRoute) checkAnswer(t *testing.T, e endless, got response) {
	t.Helper()
	short := fmt.Sprintf("status %d, truncated %t, body %.100q", got.Status, got.Truncated, got.Body)
	whole := !got.Truncated && got.Status == 200 && r.isWhole(e, got.Body)
	mayBeWhole := e.whole != "" || r.spare && r.repeats && !e.progress
	switch {
	case mayBeWhole && !whole:
		t.Errorf("%s, want a whole answer", short)
	case !mayBeWhole && !got.Truncated && got.Status != http.StatusBadGateway && got.Status != http.StatusGatewayTimeout:
		t.Errorf("%s, want 502, 504 or a cut answer", short)
	}
}

// checkAttempts checks that a request that may not be repeated was sent once.
func (r endlessRoute) checkAttempts(t *testing.T, targets []*fakeTarget) {
	t.Helper()
	sent := 0
	for _, target := range targets {
		sent += target.count()
	}
	if !r.repeats && sent != 1 {
		t.Errorf("sent %d times", sent)
	}
}

// awaitClosed returns how many connections to a target stay open, beside the sweeps that a router makes.
func (s *setup) awaitClosed(target *endlessTarget) int64 {
	for end := time.Now().Add(connCloseTimeout); target.open.Load() != 0 && time.Now().Before(end); {
		<-time.After(10 * time.Millisecond)
		s.conns.Sweep(time.Now())
	}
	return target.open.Load()
}

// reported returns the reports so far.
func (f *finder) reported() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.reports)
}
