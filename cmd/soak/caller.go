package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"valescale/platform/fake"
)

// callerTimeout is the deadline that a caller sets for the whole answer.
const callerTimeout = 3 * time.Second

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
		r := c.harness.routers[c.rng.IntN(len(c.harness.routers))]
		c.send(r, paths[c.rng.IntN(len(paths))])
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
	}
}

// attempt is one request of a caller.
type attempt struct {
	id     string
	path   string
	router *router
	sentAt time.Time
}

// send sends one request, checks the response and returns its status code, or zero if the
// request failed without a response.
func (c *caller) send(r *router, path string) int {
	c.count++
	id := fmt.Sprintf("%d-%d-%d", c.harness.Seed, c.number, c.count)
	body := "body of " + id
	if path == fatalPath {
		body = fatalBody
	}
	c.harness.ledger.recordSent(id, path, body)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+path, strings.NewReader(body))
	if err != nil {
		c.harness.ledger.addViolation("cannot create a request: %v", err)
		return 0
	}
	// Without GetBody, the transport cannot replay the request on its own.
	req.GetBody = nil
	fake.Request(req, id, int(callerTimeout.Milliseconds()))
	a := attempt{id: id, path: path, router: r, sentAt: time.Now()}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	c.checkResponse(a, resp, string(got), err)
	return resp.StatusCode
}

// checkResponse compares a response with the only correct one.
func (c *caller) checkResponse(a attempt, resp *http.Response, got string, err error) {
	ledger, id, path := c.harness.ledger, a.id, a.path
	signed := resp.Header.Get(fake.HeaderSignature) != ""
	switch resp.StatusCode {
	case http.StatusOK:
		want := expectedAnswer(id)
		if path == streamPath || path == resumePath {
			want = expectedStream(id)
		}
		switch {
		case !signed:
			ledger.addViolation("%s on %s: status 200 without a target signature", id, path)
		case err == nil && got != want && !endsMarked(resp):
			c.checkUnmarked(a, want, got)
		case err == nil && got != want:
			ledger.addViolation("%s on %s: unexpected answer %q", id, path, got)
		case err != nil && !strings.HasPrefix(want, got):
			ledger.addViolation("%s on %s: unexpected answer %q before the connection broke", id, path, got)
		case err == nil:
			ledger.recordServed()
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if signed {
			ledger.addViolation("%s on %s: rejection with a target signature", id, path)
		}
		ledger.recordRejected(id)
	}
}
