package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// requester sends requests over one kept connection at a time. It never sends one twice.
type requester struct {
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

// call is one request of a requester.
type call struct {
	id, method, path string
	body             string
	deadline         time.Duration
	header           map[string]string
}

// reply is what a requester got.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes a request and reads its whole answer.
func (r *requester) send(c call) reply {
	if r.conn == nil {
		conn, err := net.DialTimeout("tcp", r.front, time.Second)
		if err != nil {
			return reply{err: err}
		}
		r.conn, r.reader = conn, bufio.NewReader(conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, hostName, headerID, c.id, headerDeadline, c.deadline.Milliseconds(), apiKey)
	for name, value := range c.header {
		text += name + ": " + value + "\r\n"
	}
	if c.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	_ = r.conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(r.conn, text+"\r\n"+c.body); err != nil {
		r.close()
		return reply{err: err}
	}
	resp, err := http.ReadResponse(r.reader, &http.Request{Method: c.method})
	if err != nil {
		r.close()
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		r.close()
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}

// close ends the connection.
func (r *requester) close() {
	if r.conn != nil {
		_ = r.conn.Close()
		r.conn = nil
	}
}
