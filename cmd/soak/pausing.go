package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pausingCallers is the number of callers that keep connections and pause around the short idle time.
	pausingCallers = 32
	// firstPausing and firstChanging are the numbers of the first of these callers and of those that the second
	// schedule starts.
	firstPausing  = 200
	firstChanging = 1000
	// firstLosing is the number of the first caller that an end of all routers starts.
	firstLosing = 100_000
	// pauseSpread is the largest difference between a pause and the short idle time.
	pauseSpread = 40 * time.Millisecond
	// requestsPerRouter is the number of requests that such a caller sends to a router before it takes another.
	requestsPerRouter = 10
	// bigAnswerLines makes the answers of bigPath larger than what routers hold back until it is whole.
	bigAnswerLines = 20_000
)

// startPausingCallers starts the callers that pause.
func (w *harness) startPausingCallers() {
	for i := range pausingCallers {
		c := w.newCaller(firstPausing + i)
		w.callers.Go(c.runPausing)
	}
}

// runPausing sends requests until the harness stops, with pauses around the short idle time.
func (c *caller) runPausing() {
	// A big answer is rare, since it costs as much as many others.
	paths := []string{
		oncePath, oncePath, oncePath, oncePath, oncePath, oncePath, oncePath, safePath, safePath, safePath,
		safePath, splitPath, splitPath, splitPath, splitPath, streamPath, streamPath, streamPath, resumePath, bigPath,
	}
	for {
		r := c.drawRouter()
		for range requestsPerRouter {
			c.send(r, paths[c.rng.IntN(len(paths))])
			select {
			case <-c.harness.stop:
				return
			case <-time.After(between(c.rng, shortIdle-pauseSpread, shortIdle+pauseSpread)):
			}
		}
	}
}

const (
	// uploads is the number of slow uploads beside a planned stop, uploadSize the size of each.
	uploads    = 6
	uploadSize = 128 << 10
	// uploadPieces is the number of pieces in which a slow upload is sent.
	uploadPieces = 4
	// uploadTimeout is the time-out of slow uploads. It ends after the grace of a planned stop.
	uploadTimeout = 9 * time.Second
	// uploadLead is the time between the begin of uploads and the order to stop.
	uploadLead = 300 * time.Millisecond
	// minUpload and maxUpload limit the time that an upload takes: it becomes whole during the stop.
	minUpload = 500 * time.Millisecond
	maxUpload = uploadLead + 6*time.Second
	// stopTime is the time after which a router that was ordered to stop has ended.
	stopTime = 9 * time.Second
)

// uploadBesideStop begins slow uploads at a router and orders it to stop.
func (w *harness) uploadBesideStop() {
	r := w.drawRouter()
	for i := range uploads {
		c := w.changingCaller()
		a := c.newAttempt(r, uploadPath)
		a.body += strings.Repeat("x", uploadSize)
		a.deadline = uploadTimeout
		a.slow = &slowBody{duration: between(w.changesRng, minUpload, maxUpload), chunked: i%2 == 0}
		w.callers.Go(func() { c.do(a) })
	}
	<-time.After(uploadLead)
	w.stopRouter(r)
	time.AfterFunc(stopTime, func() { w.orders.print("start", r) })
}

// changingCaller returns another caller for the second schedule.
func (w *harness) changingCaller() *caller {
	w.changing++
	return w.newCaller(firstChanging + w.changing)
}

// slowBody is how a body is sent in pieces.
type slowBody struct {
	duration time.Duration
	chunked  bool
}

// reader returns the body of an attempt.
func (a attempt) reader() io.Reader {
	if a.slow == nil {
		return strings.NewReader(a.body)
	}
	var parts []io.Reader
	size := len(a.body) / uploadPieces
	for i := range uploadPieces {
		piece := a.body[i*size : (i+1)*size]
		if i == uploadPieces-1 {
			piece = a.body[i*size:]
		}
		parts = append(parts, strings.NewReader(piece))
		if i < uploadPieces-1 {
			parts = append(parts, pause(a.slow.duration/(uploadPieces-1)))
		}
	}
	return io.MultiReader(parts...)
}

// contentLength returns the length of the body of an attempt, or -1 if it is sent in chunks.
func (a attempt) contentLength() int64 {
	if a.slow != nil && a.slow.chunked {
		return -1
	}
	return int64(len(a.body))
}

// pause is a reader that ends after a time.
type pause time.Duration

// Read implements io.Reader.
func (p pause) Read([]byte) (int, error) {
	<-time.After(time.Duration(p))
	return 0, io.EOF
}

// shortestTimeout returns the shortest time-out that may apply to an attempt.
func (a attempt) shortestTimeout() time.Duration {
	switch a.path {
	case uploadPath:
		return uploadTimeout
	case oncePath, safePath, splitPath:
		return shortTimeout
	default:
		return usualTimeout
	}
}

const (
	// earlyCallers is the number of callers that connect connectLead before they send, freshCallers the number of
	// those that connect right after these have sent.
	earlyCallers = 16
	freshCallers = 8
	connectLead  = 400 * time.Millisecond
)

// connectEarly lets callers connect to a router some time before they send, and others right after that.
func (w *harness) connectEarly() {
	r := w.drawRouter()
	for range earlyCallers {
		w.sendAfterConnect(r, connectLead)
	}
	<-time.After(connectLead)
	for range freshCallers {
		w.sendAfterConnect(r, 0)
	}
}

// sendAfterConnect lets a caller connect to a router and send a request some time later.
func (w *harness) sendAfterConnect(r *router, delay time.Duration) {
	c := w.changingCaller()
	c.http.Transport = &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, addr)
			<-time.After(delay)
			return conn, err
		},
	}
	w.callers.Go(func() { c.send(r, oncePath) })
}
