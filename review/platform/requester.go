package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Answer is what a requester got for one request.
type Answer struct {
	// Status is zero without a head.
	Status int
	Header http.Header
	Body   []byte
	// Complete is set if the answer looks complete to the requester.
	Complete bool
	// Err is the error of the connection, or nil.
	Err error
	// At is when the answer ended.
	At time.Time
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	return fmt.Sprintf("status %d, sig %q, %d bytes, complete %t, %v", a.Status, a.Header.Get(HeaderSig), len(a.Body), a.Complete, a.Err)
}

// Requester is one connection of a requester.
type Requester struct {
	conn   net.Conn
	reader *bufio.Reader
	// readBytes and readPause limit how fast answers are read; zero means as fast as they come.
	readBytes int
	readPause time.Duration
}

// ReadSlowly makes the requester pause after each readBytes of a body.
func (r *Requester) ReadSlowly(readBytes int, pause time.Duration) {
	r.readBytes, r.readPause = readBytes, pause
}

// ethernetSegment is the usual size of a segment on a network, in place of the 64 kB of loopback.
const ethernetSegment = 1460

// ConnectWindow opens a connection to a router with segments and a window as on a network.
func ConnectWindow(addr string, window int) (*Requester, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window))
		})
		return errors.Join(err, optionErr)
	}}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Requester{conn: c, reader: bufio.NewReader(c)}, nil
}

// Connect opens a connection to a router.
func Connect(addr string) (*Requester, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Requester{conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (r *Requester) Close() { _ = r.conn.Close() }

// Head returns the head of a request. The framing is the header field that tells how its body is sent, or
// empty if it has none.
func Head(method, path, id string, deadline time.Duration, framing string) string {
	fields := []string{
		fmt.Sprintf("%s %s HTTP/1.1", method, path), "Host: " + Host, HeaderID + ": " + id,
		fmt.Sprintf("%s: %d", HeaderDeadline, deadline.Milliseconds()), "Authorization: Bearer " + Key,
	}
	if strings.HasPrefix(path, Stream) || strings.HasPrefix(path, Resume) {
		// Each request has a session of its own.
		fields = append(fields, "X-Valescale-Model: m", "X-Valescale-Token-Count: 1460,80",
			fmt.Sprintf("X-Valescale-Prefix-Hash: 5c1e07a2:800,%x:410,%x:250", "s"+id, "r"+id))
	}
	if framing != "" {
		fields = append(fields, framing)
	}
	return strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// Send sends a request.
func (r *Requester) Send(method, path, id string, deadline time.Duration, body string) error {
	framing := ""
	if method == http.MethodPost {
		framing = fmt.Sprintf("Content-Length: %d", len(body))
	}
	return r.Raw(Head(method, path, id, deadline, framing) + body)
}

// Receive reads an answer for at most limit. If head is not nil, it is called with the answer once its
// head has been read.
func (r *Requester) Receive(method string, limit time.Duration, head func(Answer)) Answer {
	_ = r.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(r.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, At: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	answer := Answer{Status: resp.StatusCode, Header: resp.Header}
	if head != nil {
		head(answer)
	}
	answer.Body, answer.Err = r.readBody(resp.Body)
	answer.Complete, answer.At = answer.Err == nil, time.Now()
	return answer
}

// readBody reads a body as fast as the requester reads. It returns no error only at the end of a whole body.
func (r *Requester) readBody(body io.Reader) ([]byte, error) {
	if r.readBytes == 0 {
		return io.ReadAll(body)
	}
	var out []byte
	buffer := make([]byte, r.readBytes)
	for unpaused := 0; ; {
		n, err := body.Read(buffer[:r.readBytes-unpaused])
		out = append(out, buffer[:n]...)
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return out, nil
		case err != nil:
			return out, err
		}
		if unpaused += n; unpaused == r.readBytes {
			time.Sleep(r.readPause)
			unpaused = 0
		}
	}
}

// Raw sends bytes as they are.
func (r *Requester) Raw(text string) error {
	_, err := io.WriteString(r.conn, text)
	return err
}

// chunkBytes is the size of the chunks of a body.
const chunkBytes = 64 << 10

// SendChunks sends a request whose body of the given length comes in chunks.
func (r *Requester) SendChunks(method, path, id string, deadline time.Duration, length int) error {
	if err := r.Raw(Head(method, path, id, deadline, "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	data := strings.Repeat("x", chunkBytes)
	for left := length; left > 0; left -= chunkBytes {
		size := min(left, chunkBytes)
		if err := r.Raw(fmt.Sprintf("%x\r\n%s\r\n", size, data[:size])); err != nil {
			return err
		}
	}
	return r.Raw("0\r\n\r\n")
}
