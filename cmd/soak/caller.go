package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"valescale/platform/fake"
)

// callerTimeout is the deadline that a caller sets for the whole answer.
const callerTimeout = 3 * time.Second

// patience is the time beyond its deadline for which a caller waits.
const patience = time.Second

// caller sends requests one after the other to randomly chosen routers over persistent
// connections.
type caller struct {
	harness *harness
	number  int
	rng     *rand.Rand
	http    *http.Client
	count   int
}

func (w *harness) newCaller(number int) *caller {
	return &caller{
		harness: w, number: number, rng: rand.New(rand.NewPCG(w.Seed, uint64(1000+number))),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests until the harness stops.
func (c *caller) run() {
	paths := []string{oncePath, safePath, streamPath, resumePath}
	if c.number == 0 {
		paths = append(paths, fatalPath)
	}
	for {
		select {
		case <-c.harness.stop:
			return
		default:
		}
		r := c.drawRouter()
		switch path := paths[c.rng.IntN(len(paths))]; path {
		case streamPath, resumePath:
			c.requestStream(r, path)
		default:
			c.send(r, path)
		}
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
	}
}

// attempt is one request of a caller.
type attempt struct {
	id     string
	path   string
	body   string
	router *router
	sentAt time.Time
	// stream is the name of the stream and from the first event that is requested; resumes is the id of the
	// attempt that brought the first event of a stream that is resumed.
	stream  string
	from    int
	resumes string
	// prompt lists the parts of the prompt, if not empty.
	prompt string
	// deadline is the time that the caller gives, callerTimeout if zero.
	deadline time.Duration
	// slow is how the body is sent, at once if nil.
	slow *slowBody
	// leaveAfter is the number of events after which the caller closes its connection, if not zero.
	leaveAfter int
}

// newAttempt returns an attempt with an id of its own.
func (c *caller) newAttempt(r *router, path string) attempt {
	c.count++
	id := fmt.Sprintf("%d-%d-%d", c.harness.Seed, c.number, c.count)
	body := streamNamePrefix + id
	if path == fatalPath {
		body = fatalBody
	}
	return attempt{id: id, path: path, body: body, router: r, stream: id, from: 1}
}

// send sends one request, checks the response and returns its status code, or zero if the
// request failed without a response.
func (c *caller) send(r *router, path string) int { return c.do(c.newAttempt(r, path)).status }

// do sends one request and checks the response.
func (c *caller) do(a attempt) answer {
	c.harness.ledger.recordSent(a.id, a.path, a.body)
	deadline := cmp.Or(a.deadline, callerTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), deadline+patience)
	defer cancel()
	watch := &sending{}
	ctx = httptrace.WithClientTrace(ctx, watch.trace())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.router.callers+a.path, a.reader())
	if err != nil {
		c.harness.ledger.addViolation("cannot create a request: %v", err)
		return answer{err: err}
	}
	// Without GetBody, the transport cannot replay the request on its own.
	req.GetBody, req.ContentLength = nil, a.contentLength()
	fake.Request(req, a.id, int(deadline.Milliseconds()))
	if a.prompt != "" {
		req.Header.Set(fake.HeaderPromptParts, a.prompt)
	}
	if a.resumes != "" {
		req.Header.Set(fake.HeaderLastEventID, strconv.Itoa(a.from-1))
		req.Header.Set(fake.HeaderResumes, a.resumes)
	}
	a.sentAt = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.harness.ledger.recordEnd(a, watch.end(err))
		return answer{err: err, sentAt: a.sentAt, endedAt: time.Now()}
	}
	defer resp.Body.Close()
	got, err := a.readUntilLeft(resp.Body)
	c.harness.ledger.recordEnd(a, watch.answered(resp, len(got), err))
	c.checkResponse(a, resp, got, err)
	out := answer{status: resp.StatusCode, err: err, sentAt: a.sentAt, endedAt: time.Now(), retryAfter: retryAfter(resp)}
	if resp.StatusCode == http.StatusOK && isStream(a.path) {
		out.writers, _ = parseEvents(a.stream, a.from, got)
	}
	return out
}

// match is how the body of an answer compares with the only correct one.
type match struct {
	// whole bodies are equal, partial ones are a beginning of it; a partial stream that has onlyEvents
	// ends between two events.
	whole, partial, onlyEvents bool
}

// compare compares the body of an answer with the only correct one.
func (a attempt) compare(got string) match {
	if !isStream(a.path) {
		want := answerOf(a.path, a.id)
		return match{whole: got == want, partial: strings.HasPrefix(want, got)}
	}
	writers, rest := parseEvents(a.stream, a.from, got)
	next := a.from + len(writers)
	return match{whole: rest == "" && next > eventsPerStream, partial: isPartOfEvent(a.stream, next, rest), onlyEvents: rest == ""}
}

// checkResponse compares a response with the only correct one.
func (c *caller) checkResponse(a attempt, resp *http.Response, got string, err error) {
	ledger, id, path := c.harness.ledger, a.id, a.path
	signed := resp.Header.Get(fake.HeaderSignature) != ""
	switch resp.StatusCode {
	case http.StatusOK:
		m := a.compare(got)
		switch {
		case !signed:
			ledger.addViolation("%s on %s: status 200 without a target signature", id, path)
		case err == nil && !m.whole && !endsMarked(resp):
			c.checkUnmarked(a, m, got)
		case err == nil && !m.whole:
			ledger.addViolation("%s on %s: unexpected answer %.200q", id, path, got)
		case err != nil && !m.partial:
			ledger.addViolation("%s on %s: unexpected answer %.200q before the connection broke", id, path, got)
		case err == nil:
			ledger.recordServed()
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if signed {
			ledger.addViolation("%s on %s: rejection with a target signature", id, path)
		}
		if a.resumes != "" && retryAfter(resp) <= 0 {
			ledger.addViolation("%s on %s: a stream that is taken up is rejected without a time to return", id, path)
		}
		ledger.recordRejected(id, a.resumes != "")
	}
}

// retryAfter returns the time after which the caller of a rejected request may return.
func retryAfter(resp *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}
