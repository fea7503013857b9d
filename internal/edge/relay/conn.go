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
	// Keep is how many idle connections the target may be left with; zero leaves it to the
	// limits of all targets.
	Keep int
}

// Answer is the head of an answer; it must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1.
	Length int64
	// Framed says that the answer's end can be told from a cut connection.
	Framed bool
	body   io.ReadCloser
	conn   *conn
	conns  *Conns
	// unwatch ends the watch on the context and reports whether it had not closed the
	// connection by then.
	stopContextWatch func() bool
	// sent tells when all of the request is written.
	written <-chan error
	// whole is set once the body was read to its end.
	complete bool
	// closing says that the target closes the connection after this answer.
	closesConn bool
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr    string
	reader  *bufio.Reader
	limited *limitedConn
	// header is the largest header of an answer, in bytes.
	maxHeader int64
	// since is when the connection became idle, keep for how long it may be used again.
	idleSince time.Time
	keepIdle  time.Duration
	// mates is how many idle connections its target may have, this one included; zero
	// leaves it to the limits of all targets.
	maxIdle int
}

// boundedReader ends a connection that sends more than it may.
type limitedConn struct {
	net.Conn
	remaining int64
}

// errHeaderTooLarge ends the reading of an answer's head.
var errHeaderTooLarge = errors.New("the answer's header is too large")

// Read reads at most what is left.
func (b *limitedConn) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.Conn.Read(p)
	b.remaining -= int64(n)
	return n, err
}

// readBuffer holds a header and the first events, in bytes.
const readBufferBytes = 4 << 10

// newConn returns a connection whose answers have headers of at most some bytes.
func newConn(addr string, raw net.Conn, maxHeader int64) *conn {
	limited := &limitedConn{Conn: raw, remaining: maxHeader}
	return &conn{Conn: raw, addr: addr, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), maxHeader: maxHeader}
}

// Send makes an attempt and returns once the answer's head is there. An error tells by
// StepOf how far the attempt got. The context's end closes the connection.
func (c *Conns) Send(ctx context.Context, e Exchange) (*Answer, error) {
	const op = "relay.Send"
	cn := c.takeIdle(e.Addr, time.Now(), e.Fresh)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, e.Addr); err != nil {
			return nil, err
		}
	}
	cn.maxIdle = e.Keep
	stopContextWatch := context.AfterFunc(ctx, func() { _ = cn.Close() })
	written, err := cn.write(e)
	if err != nil {
		stopContextWatch()
		_ = cn.Close()
		return nil, newFailure(op, Broken, writeErrorStep(err), err)
	}
	sentAt := time.Now()
	resp, err := cn.readMatchingHead(e)
	if err != nil {
		stopContextWatch()
		_ = cn.Close()
		if ctx.Err() != nil {
			c.closeSilent(e.Addr, time.Since(sentAt))
			err = ctx.Err()
		}
		return nil, newFailure(op, readErrorKind(err), retry.Sending, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: isFramed(resp), body: resp.Body,
		conn: cn, conns: c, stopContextWatch: stopContextWatch, written: written, closesConn: resp.Close,
	}, nil
}

// nothingWritten is an error before the first byte left.
type writeNotStarted struct{ error }

// Unwrap returns the cause.
func (n writeNotStarted) Unwrap() error { return n.error }

// stepOfWrite is how far an attempt got whose request could not be written.
func writeErrorStep(err error) retry.Step {
	var n writeNotStarted
	if errors.As(err, &n) {
		return retry.Dialing
	}
	return retry.Sending
}

// errCrossed ends an attempt that got only answers to earlier requests.
var errCrossed = errors.New("only answers to other requests came")

// kindOfRead is why no head of an answer was read.
func readErrorKind(err error) Kind {
	if errors.Is(err, errCrossed) {
		return Crossed
	}
	return Broken
}

// inline is the largest request that is written before the answer is awaited, in
// bytes: it fits into a new connection's send buffer, so that the write does not wait
// for the target. A target may answer before it has read a longer one.
const maxInlineRequestBytes = 8 << 10

// write sends a request; sent tells when all of it is written.
func (c *conn) write(e Exchange) (written <-chan error, err error) {
	head := encodeHead(e)
	done := make(chan error, 1)
	if len(head)+len(e.Body) <= maxInlineRequestBytes {
		n, err := c.Conn.Write(append(head, e.Body...))
		if err != nil && n == 0 {
			return nil, writeNotStarted{err}
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

// headSize is what a request's line and header usually fit in, in bytes.
const headBufferBytes = 1 << 10

// encodeHead returns the request line and the header. It names the body's length, and
// that of an empty body if requests of the method have one.
func encodeHead(e Exchange) []byte {
	var b bytes.Buffer
	b.Grow(headBufferBytes)
	b.WriteString(e.Method)
	b.WriteByte(' ')
	b.WriteString(e.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(e.Host)
	b.WriteString("\r\n")
	// A buffer takes every write.
	_ = e.Header.Write(&b)
	if len(e.Body) > 0 || hasBody(e.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(e.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hasBody reports whether requests of a method have a body, if only an empty one.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

const (
	// maxForeign is how many answers to earlier requests are skipped on a connection: a
	// late and a surplus one.
	maxForeignResponses = 2
	// maxForeignBody bounds the body of an answer that is skipped, in bytes.
	maxForeignBodyBytes = 1 << 20
)

// readOwn reads heads until one belongs to the request.
func (c *conn) readMatchingHead(e Exchange) (*http.Response, error) {
	request := &http.Request{Method: e.Method}
	for range maxForeignResponses + 1 {
		resp, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if e.Owns(resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes+1))
		if err != nil || n > maxForeignBodyBytes || resp.Close {
			return nil, errCrossed
		}
	}
	return nil, errCrossed
}

// readHead reads one head, without those that only announce another.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for {
		c.limited.remaining = c.maxHeader
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.limited.remaining = math.MaxInt64
			return resp, nil
		}
	}
}

// Read reads the body; io.EOF means that the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Close ends the attempt. The connection is used again only after a whole answer and
// a whole request, without a byte to spare.
func (a *Answer) Close() {
	active := a.stopContextWatch()
	if !active || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.conns.keepIdle(a.conn, a.Header, time.Now())
}

// reusable reports whether nothing of this exchange is left on the connection.
func (a *Answer) reusable() bool {
	if !a.complete || a.closesConn || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
