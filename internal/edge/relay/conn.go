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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/head"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/sock"
	"valescale/internal/rule/retry"
)

// Exchange is one attempt over a connection.
type Exchange struct {
	Addr   string
	Method string
	// Path is the path of the request with its query, as sent by the caller.
	Path   string
	Host   string
	Header http.Header
	// Body contains the segments of the body.
	Body [][]byte
	// Matches reports by an answer's header whether the answer is to this request.
	Matches func(http.Header) bool
	// MaxIdleTime is the maximum idle time of a connection that is reused.
	MaxIdleTime time.Duration
	// MaxIdleConns is the maximum number of idle connections to the target; zero means the limit
	// for all targets.
	MaxIdleConns int
}

// Answer is the head of an answer. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1.
	Length int64
	// Framing is how the end of the body is marked.
	Framing BodyFraming
	body    io.ReadCloser
	conn    *conn
	conns   *Conns
	// stopContextWatch stops closing the connection at the end of the context, and returns false if
	// the connection was closed already.
	stopContextWatch func() bool
	// request is the writing of the request.
	request *sock.Write
	// complete is set once the body has been read to its end.
	complete bool
	// ended is set once the body was read to its end or could not be read.
	ended atomic.Bool
	// closesConn means that the target closes the connection after this answer.
	closesConn bool
}

// tunneled is a connection that leads through another router.
type tunneled interface {
	// Peer returns that router.
	Peer() ident.Router
}

// Via returns the router through which the answer came, or nothing for a direct connection.
func (a *Answer) Via() ident.Router {
	if t, ok := a.conn.Conn.(tunneled); ok {
		return t.Peer()
	}
	return ""
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr    string
	reader  *bufio.Reader
	limited *limitedConn
	// maxHeader is the maximum size of an answer's header, in bytes.
	maxHeader int64
	// idleSince is when the connection became idle, keepIdle for how long it may be reused.
	idleSince time.Time
	keepIdle  time.Duration
	// maxIdle is the maximum number of idle connections to the target, including this one; zero
	// means the limit for all targets.
	maxIdle int
}

// limitedConn fails reads beyond the remaining number of bytes.
type limitedConn struct {
	net.Conn
	remaining int64
}

// errHeaderTooLarge fails the reading of an answer's head.
var errHeaderTooLarge = errors.New("answer header too large")

// Read reads at most the remaining number of bytes.
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

// readBufferBytes is enough for a header and the first events.
const readBufferBytes = 4 << 10

// newConn returns a connection whose answers have headers of at most maxHeader bytes.
func newConn(addr string, raw net.Conn, maxHeader int64) *conn {
	limited := &limitedConn{Conn: raw, remaining: maxHeader}
	return &conn{Conn: raw, addr: addr, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), maxHeader: maxHeader}
}

// Send makes an attempt and returns once the answer's head is read. StepOf returns from an error
// how far the attempt got. The end of the context closes the connection.
func (c *Conns) Send(ctx context.Context, e Exchange) (*Answer, error) {
	const op = "relay.Send"
	cn := c.takeIdle(e.Addr, time.Now(), e.MaxIdleTime)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, e.Addr); err != nil {
			return nil, err
		}
	}
	cn.maxIdle = e.MaxIdleConns
	stopContextWatch := context.AfterFunc(ctx, cn.abort)
	request, err := cn.write(e)
	if err != nil {
		stopContextWatch()
		cn.abort()
		return nil, newFailure(op, Broken, writeErrorStep(err), err)
	}
	sentAt := time.Now()
	resp, err := cn.readMatchingHead(e)
	if err != nil {
		stopContextWatch()
		cn.abort()
		if ctx.Err() != nil {
			c.closeSilent(e.Addr, time.Since(sentAt))
			err = ctx.Err()
		}
		return nil, newFailure(op, readErrorKind(err), retry.Sending, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp, e.Method), body: resp.Body,
		conn: cn, conns: c, stopContextWatch: stopContextWatch, request: request, closesConn: resp.Close,
	}, nil
}

// lingerer is a connection that can drop what was not sent yet when it is closed.
type lingerer interface {
	// SetLinger with zero makes Close drop it and reset the connection.
	SetLinger(seconds int) error
}

// abort closes the connection of an attempt that has failed or was given up. The request must not arrive
// once the link works again, so what the kernel still holds of it is dropped.
func (c *conn) abort() {
	if l, ok := c.Conn.(lingerer); ok {
		// If the option cannot be set, the connection is closed normally.
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// writeNotStarted is an error before the first byte was written.
type writeNotStarted struct{ error }

// Unwrap returns the cause.
func (n writeNotStarted) Unwrap() error { return n.error }

// writeErrorStep returns the step of an attempt whose request could not be written.
func writeErrorStep(err error) retry.Step {
	var n writeNotStarted
	if errors.As(err, &n) {
		return retry.Dialing
	}
	return retry.Sending
}

// errCrossed fails an attempt that received only answers to earlier requests.
var errCrossed = errors.New("received only answers to other requests")

// readErrorKind returns the kind of an error from reading the answer's head.
func readErrorKind(err error) Kind {
	if errors.Is(err, errCrossed) {
		return Crossed
	}
	return Broken
}

// maxInlineRequestBytes is the largest request that is written in full before the answer is read.
// It fits into the send buffer of a new connection, so that the write does not block. A target may
// answer a longer request before it has read all of it.
const maxInlineRequestBytes = 8 << 10

// write sends a request.
func (c *conn) write(e Exchange) (*sock.Write, error) {
	head := encodeHead(e)
	request := sock.NewWrite()
	if len(head)+e.bodyLen() <= maxInlineRequestBytes {
		n, err := c.Conn.Write(e.appendBody(head))
		if err != nil && n == 0 {
			return nil, writeNotStarted{err}
		}
		request.End(err)
		return request, err
	}
	go func() {
		buffers := append(net.Buffers{head}, e.Body...)
		_, err := buffers.WriteTo(c.Conn)
		request.End(err)
	}()
	return request, nil
}

// bodyLen returns the length of the body in bytes.
func (e Exchange) bodyLen() int {
	length := 0
	for _, segment := range e.Body {
		length += len(segment)
	}
	return length
}

// appendBody appends the body to b.
func (e Exchange) appendBody(b []byte) []byte {
	for _, segment := range e.Body {
		b = append(b, segment...)
	}
	return b
}

// headBufferBytes is the usual maximum size of a request line and header.
const headBufferBytes = 1 << 10

// encodeHead returns the request line and the header. It includes the length of the body, also of
// an empty one if requests of the method have a body.
func encodeHead(e Exchange) []byte {
	var b bytes.Buffer
	b.Grow(headBufferBytes)
	b.WriteString(e.Method)
	b.WriteByte(' ')
	b.WriteString(e.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(e.Host)
	b.WriteString("\r\n")
	// Writes to a buffer do not fail.
	_ = e.Header.Write(&b)
	if length := e.bodyLen(); length > 0 || hasBody(e.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(length))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hasBody reports whether requests of a method have a body, even an empty one.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

const (
	// maxForeignResponses is how many answers to earlier requests are skipped on a connection: one
	// late and one surplus answer.
	maxForeignResponses = 2
	// maxForeignBodyBytes limits the body of a skipped answer.
	maxForeignBodyBytes = 1 << 20
)

// readMatchingHead reads heads until one is to the request.
func (c *conn) readMatchingHead(e Exchange) (*http.Response, error) {
	request := &http.Request{Method: e.Method}
	for range maxForeignResponses + 1 {
		resp, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if e.Matches(resp.Header) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength > maxForeignBodyBytes {
			// No other answer follows, or only after more than may be skipped.
			return nil, errCrossed
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes+1))
		if err != nil || n > maxForeignBodyBytes {
			return nil, errCrossed
		}
	}
	return nil, errCrossed
}

// errNotHTTP1 fails the reading of a head after which the bytes of the connection have no meaning to this router.
var errNotHTTP1 = errors.New("answer in a protocol that was not asked for")

// isHTTP1 reports whether a head is one of HTTP/1, and what follows it as well: no request asks for another protocol.
func isHTTP1(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode != http.StatusSwitchingProtocols
}

// readHead reads one head and skips informational (1xx) ones, which count together with it as one header.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.limited.remaining = c.maxHeader
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err == nil {
			err = head.Check(resp)
			resp.Body = head.Body(resp)
		}
		switch {
		case err != nil:
			return nil, err
		case !isHTTP1(resp):
			return nil, errNotHTTP1
		case resp.StatusCode >= http.StatusOK:
			c.limited.remaining = math.MaxInt64
			return resp, nil
		}
	}
}

// errReset fails the reading of an answer whose target has reset the connection.
var errReset = errors.New("connection reset while the request was being written")

// Read reads the body. It returns io.EOF only at the end of a complete answer, or of one without a marked end that its target
// has ended in order.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF && !a.Framing.Marked() && a.request.WasReset(a.conn.Conn) {
		err = errReset
	}
	if err == io.EOF {
		a.complete = true
	}
	if err != nil {
		a.ended.Store(true)
	}
	return n, err
}

// Close ends the attempt. The connection is reused only after a complete answer and a complete
// request, with no unread bytes.
func (a *Answer) Close() {
	active := a.stopContextWatch()
	switch {
	case !a.complete:
		a.conn.abort()
		return
	case !active || !a.reusable():
		_ = a.conn.Close()
		return
	}
	a.conns.keepIdle(a.conn, a.Header, time.Now())
}

// reusable reports whether no bytes of this exchange remain on the connection.
func (a *Answer) reusable() bool {
	return a.complete && !a.closesConn && a.conn.reader.Buffered() == 0 && a.request.Succeeded()
}
