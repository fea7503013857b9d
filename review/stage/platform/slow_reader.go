package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// A stream of the slow-reader case has steadyPieces pieces of steadyPieceBytes, steadyBatch of them each steadyPause:
	// 1.5 MB in a second and a half.
	steadyPieces     = 1500
	steadyPieceBytes = 1000
	steadyBatch      = 10
	steadyPause      = 10 * time.Millisecond
	// steadyReaders is the number of requesters. Each reads readBytes each readPause at most: 320 KB a second, so that it
	// needs five seconds.
	steadyReaders = 6
	readBytes     = 16 << 10
	readPause     = 50 * time.Millisecond
	// steadyDeadline is the deadline of the requests and the TimeoutMs of their route.
	steadyDeadline = 10 * time.Second
	// hupLead is the time from the SIGHUP to the requests.
	hupLead = 100 * time.Millisecond
	// lostLimit is the number of such ends that the rule allows.
	lostLimit = 3
)

// steadyPiece returns one event of a stream.
func steadyPiece(i int) string {
	text := fmt.Sprintf("id: %d\ndata: ", i)
	return text + strings.Repeat("t", steadyPieceBytes-len(text)-2) + "\n\n"
}

// slowReader plays requesters that read long streams steadily, more slowly than the replica makes them.
func slowReader(rec *record, trouble bool) error {
	f, end, err := newFleet(2, true)
	if err != nil {
		return err
	}
	defer end()
	var mu sync.Mutex
	made := map[string]int{}
	rep := &replica{
		id: "i-7f3a91c2", service: "modelo-jueces", zone: zones[0], slots: 64, queue: 64,
		serve: func(rep *replica, a *arrival) bool {
			if len(a.body) < len("long ") || string(a.body[:len("long ")]) != "long " {
				return rep.answer(a, http.StatusOK, piece(0), map[string]string{headerSig: "3e1b.1", "Content-Type": "text/event-stream"})
			}
			rec.add("replica runs %s", a.id)
			fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, a.id, headerSig)
			for i := range steadyPieces {
				text := steadyPiece(i)
				if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
					rec.add("replica: %s ended after %d pieces: %v", a.id, i, err)
					return false
				}
				mu.Lock()
				made[a.id] = i + 1
				mu.Unlock()
				if i%steadyBatch == steadyBatch-1 {
					time.Sleep(steadyPause)
				}
			}
			_, err := io.WriteString(a.conn, "0\r\n\r\n")
			rec.add("replica: %s is whole", a.id)
			return err == nil
		},
	}
	if err := rep.start(f.store); err != nil {
		return err
	}
	defer rep.stop()
	f.configure(1, []routeSpec{{
		Name: "run-review", Host: hostName, Prefix: "/lohu930/", Type: "stream", Service: "modelo-jueces", TimeoutMs: int(steadyDeadline.Milliseconds()), SloMs: 600,
		ItlTargetMs: 300, Attempts: 1, Prio: 1,
	}}, []map[string]any{{"Name": "modelo-jueces", "MaxConns": 370, "HealthPath": "/healthz"}})
	if err := f.startAll(); err != nil {
		return err
	}
	var readers, warm sync.WaitGroup
	warm.Add(steadyReaders)
	reloaded := make(chan struct{})
	go func() {
		// One machine of two gets a SIGHUP, with or without the disruption: planned work, which does no harm.
		warm.Wait()
		f.routers[0].signal(syscall.SIGHUP)
		rec.add("SIGHUP to %s", f.routers[0].name)
		time.Sleep(hupLead)
		close(reloaded)
	}()
	lost, ran := 0, 0
	for i := range steadyReaders {
		readers.Go(func() {
			r := &requester{front: f.routers[0].front}
			first := r.send(call{id: newID(), method: http.MethodPost, path: "/lohu930/2f", body: "short", deadline: steadyDeadline})
			rec.add("requester %d: first answer %d, error %v", i, first.status, first.err)
			warm.Done()
			if r.conn == nil {
				return
			}
			<-reloaded
			id := newID()
			got, took, err := r.readSteadily(id, trouble)
			mu.Lock()
			defer mu.Unlock()
			ran++
			rec.say("requester %d: stream %s: %d of %d pieces after %v, error %v; the replica had made %d", i, id, got, steadyPieces, took.Round(10*time.Millisecond), err, made[id])
			if got < steadyPieces && took < steadyDeadline {
				lost++
			}
		})
	}
	readers.Wait()
	rec.say("%d kept connections were closed without a whole answer before the deadline", lost)
	if ran < steadyReaders {
		return errNothingShown
	}
	if lost > lostLimit {
		return errBroken
	}
	return nil
}

// readSteadily makes a request for a long stream on the kept connection and reads the answer: steadily, if slow is set.
func (r *requester) readSteadily(id string, slow bool) (pieces int, took time.Duration, err error) {
	began := time.Now()
	_ = r.conn.SetDeadline(began.Add(steadyDeadline + time.Second))
	text := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\nlong %s",
		hostName, headerID, id, headerDeadline, steadyDeadline.Milliseconds(), apiKey, len("long ")+len(id), id)
	if _, err := io.WriteString(r.conn, text); err != nil {
		return 0, time.Since(began), err
	}
	source := r.reader
	if slow {
		source = bufio.NewReaderSize(&steadyConn{Conn: r.conn}, readBytes)
	}
	resp, err := http.ReadResponse(source, nil)
	if err != nil {
		return 0, time.Since(began), err
	}
	body, err := io.ReadAll(resp.Body)
	return strings.Count(string(body), "\n\n"), time.Since(began), err
}

// steadyConn reads readBytes each readPause at most.
type steadyConn struct{ net.Conn }

// Read implements io.Reader.
func (c *steadyConn) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return c.Conn.Read(p[:min(len(p), readBytes)])
}
