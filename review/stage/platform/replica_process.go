package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// replicaProcess is a replica as a process of its own, so that the kernel ends its connections when it is killed.
type replicaProcess struct {
	id, service, addr, zone string
	slots                   int
	cmd                     *exec.Cmd
	output                  io.ReadCloser
}

// startReplica starts a replica and registers it in the store.
func startReplica(s *store, id, service, zone string, slots int) (*replicaProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &replicaProcess{id: id, service: service, zone: zone, slots: slots, cmd: exec.Command(self, "-replica", id)}
	if p.output, err = p.cmd.StdoutPipe(); err != nil {
		return nil, err
	}
	// The process ends with its standard input, so that none is left behind.
	if _, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if _, err := fmt.Fscanln(p.output, &p.addr); err != nil {
		return nil, err
	}
	p.register(s, "ready")
	return p, nil
}

// register writes the replica's entry.
func (p *replicaProcess) register(s *store, state string) {
	s.put("servers", p.id, map[string]any{
		"Service": p.service, "Addr": p.addr, "Zone": p.zone, "Version": "v1", "Slots": p.slots, "State": state, "ColdLeftMs": 0, "Seq": 1,
	})
}

// kill ends the process as if its machine had been taken away by its owner: SIGKILL.
func (p *replicaProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// leave ends the process in order: it accepts no more connections, finishes what it serves, and ends.
func (p *replicaProcess) leave() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Headers by which the requester of a script says what the replica makes.
const (
	headerPieces = "Stage-Pieces"
	headerPause  = "Stage-Pause-Ms"
)

// serveReplica is the main function of a replica process. It answers with a stream without a length, which ends with
// its connection.
func serveReplica(id string) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun
	}
	fmt.Println(l.Addr())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(exitHeld)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		_ = l.Close()
	}()
	var serving sync.WaitGroup
	for {
		c, err := l.Accept()
		if err != nil {
			serving.Wait()
			return exitHeld
		}
		serving.Go(func() { serveUnmarked(c, id) })
	}
}

// serveUnmarked serves one request of a connection.
func serveUnmarked(c net.Conn, id string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if req.Header.Get(headerExpect) != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, req.Header.Get(headerID))
		return
	}
	if req.Header.Get(headerPieces) == "" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			headerID, req.Header.Get(headerID), headerSig, id, len(piece(0)), piece(0))
		return
	}
	pieces, _ := strconv.Atoi(req.Header.Get(headerPieces))
	pause, _ := strconv.Atoi(req.Header.Get(headerPause))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		headerID, req.Header.Get(headerID), headerSig, id)
	for i := range pieces {
		if _, err := io.WriteString(c, piece(i)); err != nil {
			return
		}
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
}

// piece returns one event of a stream.
func piece(i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d %s\n\n", i, i, strings.Repeat("t", 40))
}

// streamEnd is how a stream ended at its requester.
type streamEnd struct {
	id, replica string
	status      int
	pieces      int
	// orderly is set if the connection was closed and not reset, and all of the answer's framing was there.
	orderly bool
	err     error
}

// readStream makes a request over a connection that has had one request before, and reads the answer to its end.
func readStream(ctx context.Context, front, path string, deadline time.Duration, header map[string]string) streamEnd {
	out := streamEnd{id: newID()}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", front)
	if err != nil {
		out.err = err
		return out
	}
	defer conn.Close()
	r := &requester{front: front, conn: conn, reader: bufio.NewReader(conn)}
	if first := r.send(call{id: newID(), method: http.MethodPost, path: path, body: "first", deadline: deadline}); first.status != http.StatusOK || r.conn == nil {
		out.status, out.err = first.status, first.err
		return out
	}
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		path, hostName, headerID, out.id, headerDeadline, deadline.Milliseconds(), apiKey, len(out.id))
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+out.id); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.replica = resp.StatusCode, strings.TrimPrefix(resp.Header.Get(headerSig), "3e1b.")
	body, err := io.ReadAll(resp.Body)
	out.pieces, out.err, out.orderly = strings.Count(string(body), "\n\n"), err, err == nil
	return out
}
