package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"valescale/internal/plat/memory"
)

// testStopTime is more than a stop without requests may take: one that waits for a caller's handshake, for its first
// request, and for it to read that the connection ends.
const testStopTime = 2*stopWait + 2*time.Second

// tlsServer serves callers over TLS.
type tlsServer struct {
	addr  string
	conns *CallerConns
	roots *x509.CertPool
	// stopListening closes the listener.
	stopListening func() error
}

// newTLSServer returns a server that is closed at the end of the test.
func newTLSServer(t *testing.T, times ConnTimes, handler http.Handler) *tlsServer {
	t.Helper()
	return newHeldTLSServer(t, times, handler, func() {})
}

// heldReads is a connection of a router that is short of processor.
type heldReads struct {
	*net.TCPConn
	// armed is set before a read that is held until hold returns.
	armed *atomic.Bool
	hold  func()
}

// Read implements net.Conn.
func (c *heldReads) Read(p []byte) (int, error) {
	if c.armed.CompareAndSwap(true, false) {
		c.hold()
	}
	return c.TCPConn.Read(p)
}

// heldReadsListener is a listener of such connections.
type heldReadsListener struct {
	net.Listener
	armed *atomic.Bool
	hold  func()
}

// Accept implements net.Listener.
func (l *heldReadsListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldReads{TCPConn: c.(*net.TCPConn), armed: l.armed, hold: l.hold}, nil
}

// SyscallConn implements syscall.Conn.
func (l *heldReadsListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

// newHeldTLSServer returns a server that reads an idle connection of HTTP/1.1 once a function has returned.
func newHeldTLSServer(t *testing.T, times ConnTimes, handler http.Handler, hold func()) *tlsServer {
	t.Helper()
	keys := httptest.NewTLSServer(nil)
	defer keys.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns, closeConns := NewCallerConns(memory.New(testMemory, time.Now), times)
	s := &tlsServer{addr: l.Addr().String(), conns: conns, roots: x509.NewCertPool()}
	s.roots.AddCert(keys.Certificate())
	server := &http.Server{
		Handler: handler, TLSConfig: &tls.Config{Certificates: keys.TLS.Certificates}, ReadHeaderTimeout: times.Header,
		ErrorLog:     log.New(io.Discard, "", 0),
		TLSNextProto: map[string]func(*http.Server, *tls.Conn, http.Handler){"h2": conns.ServeHTTP2},
	}
	var armed atomic.Bool
	server.ConnState = func(c net.Conn, state http.ConnState) {
		conns.StateChanged(c, state)
		if state == http.StateIdle {
			armed.Store(true)
		}
	}
	followed := conns.TLSListener(&heldReadsListener{Listener: l, armed: &armed, hold: hold})
	s.stopListening = followed.Close
	go func() { _ = server.ServeTLS(followed, "", "") }()
	t.Cleanup(func() {
		_ = server.Close()
		closeConns()
	})
	return s
}

// stop stops the server as a router does, and returns a channel with the result.
func (s *tlsServer) stop(t *testing.T) <-chan error {
	t.Helper()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testStopTime)
		defer cancel()
		_ = s.stopListening()
		stopped <- s.conns.Stop(ctx)
	}()
	for !s.conns.stopping.Load() {
		<-time.After(time.Millisecond)
	}
	return stopped
}

// waitForPhase waits until the only connection is in a phase.
func (s *tlsServer) waitForPhase(t *testing.T, phase connPhase) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); <-time.After(time.Millisecond) {
		if conns := s.conns.list(); len(conns) == 1 && conns[0].currentPhase() == phase {
			return
		}
	}
	t.Fatalf("no connection is in phase %d", phase)
}

// connect returns a caller's connection without encryption.
func (s *tlsServer) connect(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// encrypt returns a caller's connection for one without encryption, for HTTP/2 or HTTP/1.1.
func (s *tlsServer) encrypt(c net.Conn, http2 bool) *tlsCaller {
	protocol := "http/1.1"
	if http2 {
		protocol = "h2"
	}
	encrypted := tls.Client(c, &tls.Config{RootCAs: s.roots, ServerName: "example.com", NextProtos: []string{protocol}})
	return &tlsCaller{Conn: encrypted, in: bufio.NewReader(encrypted), http2: http2}
}

// dial returns a caller whose TLS handshake is done.
func (s *tlsServer) dial(t *testing.T, http2 bool) *tlsCaller {
	t.Helper()
	c := s.encrypt(s.connect(t), http2)
	if err := c.Handshake(); err != nil {
		t.Fatal(err)
	}
	return c
}

// tlsCaller is a caller that sends single frames or requests.
type tlsCaller struct {
	*tls.Conn
	in    *bufio.Reader
	http2 bool
	// streams is the number of streams of HTTP/2 that were opened.
	streams uint32
}

// Types and flags of HTTP/2 frames.
const (
	dataFrame, headersFrame, settingsFrame, pingFrame, goAwayFrame = 0, 1, 4, 6, 7
	endStream, endHeaders                                          = 1, 4
)

// frame is a frame of HTTP/2.
type frame struct {
	kind, flags byte
	stream      uint32
	payload     []byte
}

// sendFrame sends a frame.
func (c *tlsCaller) sendFrame(f frame) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(f.payload))<<8|uint32(f.kind))
	head = binary.BigEndian.AppendUint32(append(head, f.flags), f.stream)
	_, err := c.Write(append(head, f.payload...))
	return err
}

// receiveFrame returns the next frame.
func (c *tlsCaller) receiveFrame() (frame, error) {
	var head [9]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return frame{}, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	f := frame{kind: byte(size), flags: head[4], stream: binary.BigEndian.Uint32(head[5:]), payload: make([]byte, size>>8)}
	_, err := io.ReadFull(c.in, f.payload)
	return f, err
}

// open sends what begins an HTTP/2 connection.
func (c *tlsCaller) open() error {
	if _, err := io.WriteString(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"); err != nil {
		return err
	}
	return c.sendFrame(frame{kind: settingsFrame})
}

// request sends a request, the first one on an HTTP/2 connection with what begins that.
func (c *tlsCaller) request() error {
	if !c.http2 {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return err
	}
	if c.streams == 0 {
		if err := c.open(); err != nil {
			return err
		}
	}
	c.streams++
	// GET, https, the path / and the host h as indexed fields.
	return c.sendFrame(frame{
		kind: headersFrame, flags: endStream | endHeaders, stream: 2*c.streams - 1, payload: []byte{0x82, 0x87, 0x84, 0x41, 1, 'h'},
	})
}

// answer returns the body of the answer to the last request, and whether the caller was told before its end to send no more requests.
func (c *tlsCaller) answer() (body string, goesAway bool, err error) {
	if !c.http2 {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return "", false, err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), resp.Close, err
	}
	for {
		f, err := c.receiveFrame()
		goesAway = goesAway || f.kind == goAwayFrame
		if f.kind == dataFrame {
			body += string(f.payload)
		}
		if err != nil || f.stream == 2*c.streams-1 && f.flags&endStream != 0 && f.kind <= headersFrame {
			return body, goesAway, err
		}
	}
}

// awaitEnd returns the last stream that the server says it has run, or -1 if it says nothing, and the error with which the connection ends.
func (c *tlsCaller) awaitEnd() (lastStream int, err error) {
	lastStream = -1
	if !c.http2 {
		_, err = c.in.ReadByte()
		return lastStream, err
	}
	for {
		f, err := c.receiveFrame()
		if err != nil {
			return lastStream, err
		}
		if f.kind == goAwayFrame {
			lastStream = int(binary.BigEndian.Uint32(f.payload))
		}
	}
}
