package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	headerID       = "X-Valescale-Request-Id"
	headerDeadline = "X-Valescale-Deadline-Ms"
	headerExpect   = "X-Valescale-Expect-Replica"
	headerSig      = "X-Valescale-Replica-Sig"
	headerNotRun   = "X-Valescale-Not-Run"
	headerLastID   = "Last-Event-Id"
)

// arrival is a request at a replica with its connection.
type arrival struct {
	id   string
	req  *http.Request
	body []byte
	conn *replicaConn
}

// replicaConn is one connection of a caller to a replica.
type replicaConn struct {
	net.Conn
	reader *bufio.Reader
	// surplus is an answer that is sent once more, in the place of the next one.
	surplus []byte
}

// replica is a stand-in of a replica. It works on slots requests at the same time and queues a few more.
type replica struct {
	id, service, addr, zone string
	slots, queue            int
	// serve runs a request that has a slot and writes its answer; it returns false if the connection is to close.
	serve func(rep *replica, a *arrival) bool
	// rejected is called with each request that was rejected; it may be nil.
	rejected func(rep *replica, a *arrival, status int)
	// answered is called with each whole answer that was sent; it may be nil.
	answered func(rep *replica, a *arrival, answer []byte)
	listener net.Listener
	places   chan struct{}
	working  chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// start listens and registers the replica in the store.
func (rep *replica) start(s *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	rep.listener, rep.addr = l, l.Addr().String()
	rep.places, rep.working = make(chan struct{}, rep.slots+rep.queue), make(chan struct{}, rep.slots)
	rep.conns = map[net.Conn]bool{}
	rep.register(s, "ready")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go rep.serveConn(c)
		}
	}()
	return nil
}

// register writes the replica's entry.
func (rep *replica) register(s *store, state string) {
	s.put("servers", rep.id, map[string]any{
		"Service": rep.service, "Addr": rep.addr, "Zone": rep.zone, "Version": "v1", "Slots": rep.slots, "State": state, "ColdLeftMs": 0, "Seq": 1,
	})
}

// serveConn serves one request after the other.
func (rep *replica) serveConn(raw net.Conn) {
	rep.mu.Lock()
	rep.conns[raw] = true
	rep.mu.Unlock()
	defer func() {
		rep.mu.Lock()
		delete(rep.conns, raw)
		rep.mu.Unlock()
		_ = raw.Close()
	}()
	c := &replicaConn{Conn: raw, reader: bufio.NewReader(raw)}
	for {
		req, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if c.surplus != nil {
			if _, err := c.Write(c.surplus); err != nil {
				return
			}
			c.surplus = nil
		}
		if !rep.admit(&arrival{id: req.Header.Get(headerID), req: req, body: body, conn: c}) {
			return
		}
	}
}

// admit gives a request a slot, or rejects it.
func (rep *replica) admit(a *arrival) bool {
	if a.req.Header.Get(headerExpect) != rep.id {
		return rep.reject(a, http.StatusMisdirectedRequest)
	}
	select {
	case rep.places <- struct{}{}:
	default:
		return rep.reject(a, http.StatusServiceUnavailable)
	}
	defer func() { <-rep.places }()
	wait := time.Hour
	if ms, err := strconv.Atoi(a.req.Header.Get(headerDeadline)); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case rep.working <- struct{}{}:
	case <-timer.C:
		return rep.reject(a, http.StatusServiceUnavailable)
	}
	defer func() { <-rep.working }()
	return rep.serve(rep, a)
}

// reject answers that the request did not run.
func (rep *replica) reject(a *arrival, status int) bool {
	if rep.rejected != nil {
		rep.rejected(rep, a, status)
	}
	return rep.answer(a, status, "", map[string]string{headerNotRun: "1"})
}

// answer sends a whole answer with a length.
func (rep *replica) answer(a *arrival, status int, body string, extra map[string]string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n", status, http.StatusText(status), headerID, a.id, len(body))
	for name, value := range extra {
		text += name + ": " + value + "\r\n"
	}
	whole := []byte(text + "\r\n" + body)
	if _, err := a.conn.Write(whole); err != nil {
		return false
	}
	if rep.answered != nil {
		rep.answered(rep, a, whole)
	}
	return true
}

// stop closes the listener and all connections.
func (rep *replica) stop() {
	_ = rep.listener.Close()
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for c := range rep.conns {
		_ = c.Close()
	}
}
