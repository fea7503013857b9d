package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/engine"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/head"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
)

// Limits are the limits of an attempt.
type Limits struct {
	// Answer is the maximum size of a whole answer, in bytes.
	Answer int64
	// Header is the maximum size of an answer's header, in bytes.
	Header int64
	// Event is the maximum size of an event of a stream, in bytes.
	Event int
	// Dial is the timeout for making a connection.
	Dial time.Duration
	// Idle is how long an idle connection is kept.
	Idle time.Duration
	// PerTarget is the maximum number of idle connections to one target.
	PerTarget int
}

// DefaultLimits are for chat completions and small services.
var DefaultLimits = Limits{
	Answer: 8 << 20, Header: 64 << 10, Event: 1 << 20, Dial: 2 * time.Second, Idle: 30 * time.Second, PerTarget: 64,
}

// Call is one attempt.
type Call struct {
	Addr    string
	Method  string
	Path    string
	Query   string
	Header  http.Header
	Body    []byte
	Attempt ident.Attempt
	Key     ident.ChatKey
	// HTTP2 means that the target is called by HTTP/2 over clear text.
	HTTP2 bool
	// EchoesAttemptID means that the target returns the attempt's id with each answer. Only then
	// can a connection be reused, since a late answer on it is identified by its id.
	EchoesAttemptID bool
	// SingleUse means that the request must not be sent twice, even if the connection fails.
	SingleUse bool
	// Fence is the fencing token for targets that check one; zero means none.
	Fence ident.Epoch
	// Timeout is the timeout of the whole attempt.
	Timeout time.Duration
}

// Reply is the head of an answer. Its body must be read to the end or closed.
type Reply struct {
	Status   int
	Header   http.Header
	Leaving  bool
	StreamID string
	body     io.ReadCloser
	// length is the length of the body in bytes, or -1.
	length int64
	limits Limits
	cancel context.CancelFunc
}

// Relay sends attempts.
type Relay struct {
	limits    Limits
	pooled    http.RoundTripper
	singleUse http.RoundTripper
	// http2 is the transport for HTTP/2, whose requests share connections without following one
	// another on them.
	http2 http.RoundTripper
}

// New returns a relay and the function that closes its idle connections.
func New(limits Limits) (*Relay, func()) {
	pooled := newTransport(limits, false)
	singleUse := newTransport(limits, false)
	http2 := newTransport(limits, true)
	// The transport resends a request by itself if a kept-alive connection turns out to be closed,
	// and may treat surplus bytes from a target as the answer to the next request. A new connection
	// for each attempt prevents both.
	singleUse.DisableKeepAlives = true
	r := &Relay{limits: limits, pooled: head.Transport(pooled), singleUse: head.Transport(singleUse), http2: head.Transport(http2)}
	return r, func() {
		http2.CloseIdleConnections()
		pooled.CloseIdleConnections()
		singleUse.CloseIdleConnections()
	}
}

func newTransport(limits Limits, http2 bool) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Transport{
		Protocols:              protocols,
		DialContext:            (&net.Dialer{Timeout: limits.Dial}).DialContext,
		MaxIdleConnsPerHost:    limits.PerTarget,
		MaxResponseHeaderBytes: limits.Header,
		IdleConnTimeout:        limits.Idle,
		DisableCompression:     true,
	}
}

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// routerHeaders are for the router and must not be forwarded to a target.
var routerHeaders = []string{"Authorization", "Cookie", "Last-Event-Id", engine.AttemptHeader, engine.CacheHeader, engine.FenceHeader}

// EndToEnd returns a copy of headers without those that apply to one connection: the standard ones
// and those listed in the Connection header.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// CleanRequest returns the request headers that may be forwarded to a target.
func CleanRequest(h http.Header) http.Header {
	out := EndToEnd(h)
	for _, name := range routerHeaders {
		out.Del(name)
	}
	return out
}

// CleanReply returns the answer headers that may be forwarded to a caller.
func CleanReply(h http.Header) http.Header {
	out := EndToEnd(h)
	for _, name := range []string{engine.AttemptHeader, engine.LeavingHeader, engine.StreamHeader} {
		out.Del(name)
	}
	return out
}

// singleUseBody hides the type of a body, so that the transport cannot rewind and resend it.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (singleUseBody) Close() error { return nil }

// Send makes an attempt and returns once the answer's head is read.
func (r *Relay) Send(ctx context.Context, call Call) (*Reply, error) {
	const op = "relay.Send"
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := r.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		cancel()
		return nil, newFailure(op, Connect, retry.Placing, err)
	}
	roundTripper := r.pooled
	switch {
	case call.HTTP2:
		roundTripper = r.http2
	case call.SingleUse || !call.EchoesAttemptID:
		roundTripper = r.singleUse
	}
	start := time.Now()
	resp, err := roundTripper.RoundTrip(req)
	if err != nil {
		cancel()
		if !connected.Load() {
			return nil, newFailure(op, dialErrorKind(err, time.Since(start)-r.limits.Dial), retry.Dialing, err)
		}
		return nil, newFailure(op, Broken, retry.Sending, err)
	}
	if echo := resp.Header.Get(engine.AttemptHeader); echo != string(call.Attempt) && (echo != "" || call.EchoesAttemptID) {
		cancel()
		_ = resp.Body.Close()
		return nil, newFailure(op, Crossed, retry.Answering, errors.Errorf("attempt %s received the answer to attempt %q", call.Attempt, echo))
	}
	return &Reply{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Leaving:  resp.Header.Get(engine.LeavingHeader) == "true",
		StreamID: resp.Header.Get(engine.StreamHeader),
		body:     requireFraming(resp, call.Method),
		length:   resp.ContentLength,
		limits:   r.limits,
		cancel:   cancel,
	}, nil
}

func (r *Relay) request(ctx context.Context, call Call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: call.Addr, Path: call.Path, RawQuery: call.Query}
	var body io.Reader
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		body = singleUseBody{bytes.NewReader(call.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.GetBody = nil
	req.Header = CleanRequest(call.Header)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "valescale")
	}
	req.Header.Set(engine.AttemptHeader, string(call.Attempt))
	req.Header.Set(engine.CacheHeader, strconv.FormatUint(uint64(call.Key), 16))
	if call.Fence > 0 {
		req.Header.Set(engine.FenceHeader, strconv.FormatUint(uint64(call.Fence), 10))
	}
	return req, nil
}

// unframedBody is a body whose end cannot be distinguished from a broken connection.
type unframedBody struct{ io.ReadCloser }

var errUnframed = errors.New("answer has neither a content length nor chunked encoding")

// Read returns an error at the end of the connection.
func (u unframedBody) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if err == io.EOF {
		err = errUnframed
	}
	return n, err
}

// requireFraming returns the body of an answer, which fails at its end if only the end of the
// connection marks it.
func requireFraming(resp *http.Response, method string) io.ReadCloser {
	if !framingOf(resp, method).Marked() {
		return unframedBody{resp.Body}
	}
	return resp.Body
}

// ConnectionRefused reports whether nothing listens at a target's address any more, as after the
// end of its process.
func (r *Relay) ConnectionRefused(ctx context.Context, addr string) bool {
	return isRefused(ctx, net.Dialer{Timeout: r.limits.Dial}, addr)
}

// Close discards the answer. If bytes are unread, it closes the connection.
func (r *Reply) Close() {
	r.cancel()
	_ = r.body.Close()
}

// Whole reads the answer to its end. Its memory is charged to the reservation.
func (r *Reply) Whole(reserved *memory.Reservation) ([]byte, error) {
	const op = "relay.Whole"
	defer r.Close()
	buffer := memory.NewBuffer(reserved)
	var data []byte
	err := buffer.Read(r.body, r.length, r.limits.Answer+1)
	if err == nil {
		data, err = buffer.Join()
	}
	switch {
	case errors.Is(err, errUnframed):
		return nil, newFailure(op, Framing, retry.Answering, err)
	case fault.KindOf[memory.Kind](err) == memory.Full:
		return nil, newFailure(op, NoMemory, retry.Answering, err)
	case err != nil:
		return nil, newFailure(op, Broken, retry.Answering, err)
	}
	if int64(len(data)) > r.limits.Answer {
		return nil, newFailure(op, TooLarge, retry.Answering, errors.Errorf("answer exceeds %d bytes", r.limits.Answer))
	}
	return data, nil
}
