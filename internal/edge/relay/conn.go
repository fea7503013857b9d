package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/rule/retry"
)

// Exchange is one attempt over a connection.
type Exchange struct {
	Addr   string
	Method string
	// Path is the request's path with its query, as the caller sent it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports by an answer's header whether the answer belongs to this request.
	Owns func(http.Header) bool
	// Fresh is how long a connection may have been idle to be used again.
	Fresh time.Duration
}

// Answer is the head of an answer; it must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1.
	Length int64
	// Reused says that the connection had carried another request before.
	Reused bool
	body   io.ReadCloser
	conn   *conn
	conns  *Conns
	stop   func() bool
	sent   <-chan error
	whole  bool
	last   bool
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	source *boundedReader
	header int64
	// since is when the connection became idle, expires until when it may be used again.
	since   time.Time
	expires time.Time
	used    bool
}

// boundedReader ends a connection that sends more than it may.
type boundedReader struct {
	net.Conn
	left int64
}

var errHeaderTooLarge = errors.New("the answer's header is too large")

// Read reads at most what is left.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.Conn.Read(p)
	b.left -= int64(n)
	return n, err
}

// readBuffer holds a header and the first events, in bytes.
const readBuffer = 4 << 10

func newConn(addr string, raw net.Conn, header int64) *conn {
	source := &boundedReader{Conn: raw, left: header}
	return &conn{Conn: raw, addr: addr, source: source, reader: bufio.NewReaderSize(source, readBuffer), header: header}
}

// Send makes an attempt and returns once the answer's head is there. An error tells by
// StepOf how far the attempt got. The context's end closes the connection.
func (c *Conns) Send(ctx context.Context, e Exchange) (*Answer, error) {
	const op = "relay.Send"
	cn := c.take(e.Addr, time.Now(), e.Fresh)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, e.Addr); err != nil {
			return nil, err
		}
	}
	reused := cn.used
	cn.used = true
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	sent, err := cn.write(e)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, failed(op, Broken, stepOfWrite(err), err)
	}
	resp, err := cn.readOwn(e)
	if err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, failed(op, kindOfRead(err), retry.Sending, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reused: reused, body: resp.Body,
		conn: cn, conns: c, stop: stop, sent: sent, last: resp.Close,
	}, nil
}

// nothingWritten is an error before the first byte left.
type nothingWritten struct{ error }

// Unwrap returns the cause.
func (n nothingWritten) Unwrap() error { return n.error }

func stepOfWrite(err error) retry.Step {
	var n nothingWritten
	if errors.As(err, &n) {
		return retry.Dialing
	}
	return retry.Sending
}

var errCrossed = errors.New("only answers to other requests came")

func kindOfRead(err error) Kind {
	if errors.Is(err, errCrossed) {
		return Crossed
	}
	return Broken
}

// inline is the largest request that is written before the answer is awaited, in
// bytes. A target may answer before it has read a longer one.
const inline = 8 << 10

// write sends a request; sent tells when all of it is written.
func (c *conn) write(e Exchange) (sent <-chan error, err error) {
	head := appendHead(e)
	done := make(chan error, 1)
	if len(head)+len(e.Body) <= inline {
		n, err := c.Conn.Write(append(head, e.Body...))
		if err != nil && n == 0 {
			return nil, nothingWritten{err}
		}
		done <- err
		return done, err
	}
	go func() {
		buffers := net.Buffers{head, e.Body}
		_, err := buffers.WriteTo(c.Conn)
		done <- err
	}()
	return done, nil
}

// appendHead writes the request line and the header.
func appendHead(e Exchange) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(e.Method)
	b.WriteByte(' ')
	b.WriteString(e.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(e.Host)
	b.WriteString("\r\n")
	// A buffer takes every write.
	_ = e.Header.Write(&b)
	if len(e.Body) > 0 || e.Method == http.MethodPost || e.Method == http.MethodPut || e.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(e.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

const (
	// maxForeign is how many answers to earlier requests are skipped on a connection.
	maxForeign = 2
	// maxForeignBody bounds the body of an answer that is skipped, in bytes.
	maxForeignBody = 1 << 20
)

// readOwn reads heads until one belongs to the request.
func (c *conn) readOwn(e Exchange) (*http.Response, error) {
	request := &http.Request{Method: e.Method}
	for range maxForeign + 1 {
		resp, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if e.Owns(resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody+1))
		if err != nil || n > maxForeignBody || resp.Close {
			return nil, errCrossed
		}
	}
	return nil, errCrossed
}

// readHead reads one head, without those that only announce another.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for {
		c.source.left = c.header
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.source.left = math.MaxInt64
			return resp, nil
		}
	}
}

// Read reads the body; io.EOF means that the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the attempt. The connection is used again only after a whole answer and
// a whole request, without a byte to spare.
func (a *Answer) Close() {
	running := a.stop()
	if !running || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.conns.keep(a.conn, a.Header, time.Now())
}

func (a *Answer) reusable() bool {
	if !a.whole || a.last || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}
