package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// eventsPerStream is the number of events of a stream.
const eventsPerStream = 12

// streamNamePrefix precedes the name of a stream in the bodies of its requests.
const streamNamePrefix = "body of "

// eventOf returns event n of a stream as a target of the given version writes it.
func eventOf(stream string, n int, v version) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d by %s\n\n", n, stream, n, v)
}

// parseEvents returns the versions that wrote the events of a stream from a given one on, and what follows
// the last event that is correct.
func parseEvents(stream string, from int, text string) (writers []version, rest string) {
	rest = text
	for n := from; n <= eventsPerStream; n++ {
		i := slices.IndexFunc(versions, func(v version) bool { return strings.HasPrefix(rest, eventOf(stream, n, v)) })
		if i < 0 {
			break
		}
		writers = append(writers, versions[i])
		rest = rest[len(eventOf(stream, n, versions[i])):]
	}
	return writers, rest
}

// isPartOfEvent reports whether a text is the beginning of event n of a stream, or empty.
func isPartOfEvent(stream string, n int, text string) bool {
	return text == "" || n <= eventsPerStream && slices.ContainsFunc(versions, func(v version) bool {
		return strings.HasPrefix(eventOf(stream, n, v), text)
	})
}

// errLeft is the error of an answer whose caller has closed the connection.
var errLeft = errors.New("the caller closed the connection")

// readUntilLeft reads the answer to an attempt. The caller may close its connection after some events.
func (a attempt) readUntilLeft(r io.Reader) (string, error) {
	var got strings.Builder
	buffer := make([]byte, 4<<10)
	for {
		n, err := r.Read(buffer)
		got.Write(buffer[:n])
		switch {
		case err == io.EOF:
			return got.String(), nil
		case err != nil:
			return got.String(), err
		case a.leaveAfter > 0 && strings.Count(got.String(), "\n\n") >= a.leaveAfter:
			return got.String(), errLeft
		}
	}
}

const (
	// leaveInterval makes the caller of one resumable stream in so many close its connection midway.
	leaveInterval = 6
	// maxResumptions is the maximum number of tries to resume one stream, and refusedDelay the time until
	// the next one after a try that brought nothing.
	maxResumptions = 3
	refusedDelay   = 100 * time.Millisecond
)

// streamTries is what a caller has of one stream over all its attempts.
type streamTries struct {
	first   attempt
	last    attempt
	writers []version
	// pieces describes what each attempt brought.
	pieces []string
}

// add adds the events that an attempt brought.
func (s *streamTries) add(a attempt, got answer) {
	s.last = a
	s.writers = append(s.writers, got.writers...)
	if len(got.writers) > 0 {
		s.pieces = append(s.pieces, fmt.Sprintf("%d events by %v at %s", len(got.writers), slices.Compact(slices.Clone(got.writers)), a.router.name))
	}
}

// isMixed reports whether two versions wrote the events.
func (s *streamTries) isMixed() bool { return len(slices.Compact(slices.Clone(s.writers))) > 1 }

// begun reports whether the stream has begun and is not whole.
func (s *streamTries) begun() bool { return len(s.writers) > 0 && len(s.writers) < eventsPerStream }

// requestStream requests a stream and, if it may be resumed, resumes it at other routers when it breaks.
func (c *caller) requestStream(r *router, path string) {
	a := c.newAttempt(r, path)
	if path == resumePath && c.rng.IntN(leaveInterval) == 0 {
		a.leaveAfter = 1 + c.rng.IntN(eventsPerStream-1)
	}
	got := c.do(a)
	s := &streamTries{first: a}
	s.add(a, got)
	if path == resumePath {
		if !c.harness.orders.unanswered(got) {
			c.harness.ledger.recordBegin(len(got.writers) > 0)
		}
		for try := 0; try < maxResumptions && s.begun() && !got.ended(); {
			if got = c.resume(s); !c.harness.orders.unanswered(got) {
				try++
			}
		}
	}
	c.recordMixed(s)
}

// recordMixed records a stream if two versions wrote its events.
func (c *caller) recordMixed(s *streamTries) {
	if s.isMixed() {
		c.harness.ledger.recordMixed(fmt.Sprintf("%s: %s", s.first.id, strings.Join(s.pieces, ", ")))
	}
}

// resume resumes a broken stream, and records whether it goes on.
func (c *caller) resume(s *streamTries) answer {
	serving := c.harness.servingCount(engineService, s.writers[0])
	got := c.takeUp(s)
	serving = min(serving, c.harness.servingCount(engineService, s.writers[0]))
	goesOn := len(got.writers) > 0
	if !c.harness.orders.unanswered(got) {
		c.harness.ledger.recordResumption(serving, goesOn)
	}
	if !goesOn {
		time.Sleep(refusedDelay)
	}
	return got
}

// takeUp sends a try to resume a stream to another router than the one before.
func (c *caller) takeUp(s *streamTries) answer {
	r := s.last.router
	for r == s.last.router {
		r = c.drawRouter()
	}
	a := c.newAttempt(r, s.first.path)
	a.body, a.stream = s.first.body, s.first.stream
	a.from, a.resumes = len(s.writers)+1, s.first.id
	got := c.do(a)
	s.add(a, got)
	return got
}

// answer is what an attempt brought.
type answer struct {
	status int
	// writers are the versions that wrote the events of a stream.
	writers []version
	err     error
	sentAt  time.Time
	endedAt time.Time
	// retryAfter is the time after which the caller of a rejected request may return.
	retryAfter time.Duration
}

// ended reports whether an answer came with success and ended in order.
func (a answer) ended() bool { return a.status == http.StatusOK && a.err == nil }
