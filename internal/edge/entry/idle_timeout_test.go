package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// certainSeeker always has a next attempt, and counts how often it was sought.
type certainSeeker struct{ sought atomic.Int32 }

func (s *certainSeeker) seek(context.Context, time.Duration) *certainAttempt {
	s.sought.Add(1)
	return &certainAttempt{placement: &route.Placement{}}
}

func (s *certainSeeker) commit() bool { return true }

// beginAlways returns a function that counts the attempts that begin in place of a silent one.
func beginAlways(count *int) func(*certainAttempt, <-chan struct{}) bool {
	return func(*certainAttempt, <-chan struct{}) bool {
		*count++
		return true
	}
}

// A router whose idle timer runs late was itself delayed and must not take the target for silent: the answer may have
// arrived meanwhile, so that a new period begins.
func TestSilenceTimerOnDelayedRouter(t *testing.T) {
	const limit = 10 * time.Millisecond
	for name, test := range map[string]struct {
		// times are those at which the clock is read; the last one repeats.
		times []time.Duration
		want  int
	}{
		"in time":               {times: []time.Duration{0, limit}, want: 2},
		"late":                  {times: []time.Duration{0, limit + time.Second, limit + time.Second, 2*limit + time.Second}, want: 4},
		"late, but for a while": {times: []time.Duration{0, limit + relay.LocalDelayThreshold}, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			read := 0
			clock := func() time.Time {
				read++
				return start.Add(test.times[min(read, len(test.times))-1])
			}
			seeker := &certainSeeker{}
			begun := 0
			ctx, timer := newIdleTimeout(t.Context(), idleParts{clock: clock, limit: limit, successor: seeker, begin: beginAlways(&begun)})
			defer timer.stop()
			err := timer.run(func() bool {
				<-ctx.Done()
				return false
			})
			if got := context.Cause(ctx); !errors.Is(got, errTargetSilent) || !errors.Is(err, errTargetSilent) || begun != 1 {
				t.Errorf("given up for %v, error %v, want %v; %d attempts begun, want 1", got, err, errTargetSilent, begun)
			}
			if seeker.sought.Load() != 1 || read != test.want {
				t.Errorf("sought %d times, want once; clock read %d times, want %d", seeker.sought.Load(), read, test.want)
			}
		})
	}
}

// repeatableRoute is one whose attempts are given up after 150 ms without a byte.
func repeatableRoute(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 2 }

// sendInParts returns a responder that writes a complete answer in parts, with a pause before each part from the given
// one on.
func sendInParts(part string, count, pauseFrom int, pause time.Duration) responder {
	return func(w *bufio.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), count*len(part))
		for i := range count {
			if i >= pauseFrom {
				_ = w.Flush()
				<-time.After(pause)
			}
			if _, err := w.WriteString(part); err != nil {
				return false
			}
		}
		return true
	}
}

// An answer of a repeatable route must not be cut, nor requested again, while its target sends: the idle timeout begins anew
// with each byte. Once a part of it has been sent to the caller, a silent target gives no reason to cut it either.
func TestSlowAnswerOfRepeatableRouteIsWhole(t *testing.T) {
	part := strings.Repeat("x", 20_000)
	for name, serve := range map[string]responder{
		"small, in slow parts":                sendInParts(part, 8, 1, 60*time.Millisecond),
		"large, in slow parts":                sendInParts(part, 20, 1, 40*time.Millisecond),
		"large, silent after its first parts": sendInParts(part, 20, 19, 400*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, serve)
			s := newSetup(t, newRoute(repeatableRoute), target, target)
			got, _ := s.call(t, "GET", "/x", "")
			if got.Truncated || got.Status != 200 || len(got.Body)%len(part) != 0 || len(got.Body) == 0 || target.count() != 1 {
				t.Errorf("status %d, %d bytes, truncated %t, %d attempts", got.Status, len(got.Body), got.Truncated, target.count())
			}
		})
	}
}

// A small answer whose target falls silent must still be requested again in time.
func TestSilentAnswerOfRepeatableRouteIsRequestedAgain(t *testing.T) {
	first := newFakeTarget(t, sendInParts("part", 2, 1, time.Second))
	s := newSetup(t, newRoute(repeatableRoute), first, newFakeTarget(t, answer(200, "", "body")))
	got, _ := s.call(t, "GET", "/x", "")
	if diff := cmp.Diff(response{Status: 200, Body: "body"}, got); diff != "" {
		t.Error(diff)
	}
}

// A caller that reads a large answer slowly but steadily must get all of it, and its target must not be taken for silent.
func TestSlowReaderOfRepeatableRouteGetsItsAnswer(t *testing.T) {
	const size = 4 << 20
	target := newFakeTarget(t, answer(200, "", strings.Repeat("x", size)))
	s := newSetup(t, newRoute(repeatableRoute), target)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\nId: caller-1\r\nKey: k\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	received := int64(0)
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, size/16)
		received += n
		<-time.After(60 * time.Millisecond)
	}
	if received != size || err != io.EOF {
		t.Errorf("%d of %d bytes, %v", received, size, err)
	}
	// The report follows the end of the answer.
	s.server.Close()
	if diff := cmp.Diff([]string{"ok true"}, s.finder.reported()); diff != "" {
		t.Error(diff)
	}
	if s.finder.silentReports() != 0 {
		t.Error("the target was reported as silent while its caller did not read")
	}
}

// slowSeeker finds nothing, slowly, and counts the searches that run at once.
type slowSeeker struct{ running, most atomic.Int32 }

func (s *slowSeeker) seek(context.Context, time.Duration) *certainAttempt {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	s.most.Store(max(s.most.Load(), running))
	<-time.After(100 * time.Millisecond)
	return nil
}

func (s *slowSeeker) commit() bool { return false }

// Two searches for the next attempt must not run at once: a byte that arrives during a long one begins a new period.
func TestOneSearchAtATime(t *testing.T) {
	const limit = 20 * time.Millisecond
	seeker := &slowSeeker{}
	_, timer := newIdleTimeout(t.Context(), idleParts{clock: time.Now, limit: limit, successor: seeker})
	defer timer.stop()
	<-time.After(2 * limit)
	timer.reset(limit)
	<-time.After(5 * limit)
	if diff := cmp.Diff(int32(1), seeker.most.Load()); diff != "" {
		t.Error(diff)
	}
}

// An attempt must be given up only once: the target found first, and its retry, would be lost.
func TestAttemptIsGivenUpOnce(t *testing.T) {
	const limit = 10 * time.Millisecond
	seeker := &certainSeeker{}
	begun := 0
	ctx, timer := newIdleTimeout(t.Context(), idleParts{clock: time.Now, limit: limit, successor: seeker, begin: beginAlways(&begun)})
	if err := timer.run(func() bool {
		<-ctx.Done()
		return false
	}); !errors.Is(err, errTargetSilent) || begun != 1 {
		t.Errorf("error %v, %d attempts begun", err, begun)
	}
	timer.restart()
	<-time.After(5 * limit)
	timer.stop()
	if diff := cmp.Diff(int32(1), seeker.sought.Load()); diff != "" {
		t.Error(diff)
	}
}
