package reach

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/head"
	"valescale/internal/plat/ident"
)

// A tunnel is an HTTP/1.1 connection that the peer upgrades once it has connected to the target. From
// then on the caller's bytes follow as they are. The target's bytes are sent in chunks, so that the end
// of what the target sent differs from a connection that broke.
const (
	// TunnelPath is the path of the request for a tunnel.
	TunnelPath = "/tunnel"
	// tunnelProtocol is the name of the protocol that the connection is upgraded to.
	tunnelProtocol = "valescale-tunnel"
	// targetHeader contains the address of the target, failureHeader the kind of the failure to
	// connect.
	targetHeader  = "Valescale-Target"
	failureHeader = "Valescale-Failure"
)

const (
	// peerTimeout limits how long one peer may take to provide a tunnel, so that another one can be asked
	// within the time of an attempt.
	peerTimeout = 120 * time.Millisecond
	// targetTimeout limits how long a peer tries to connect to the target of a tunnel. The rest of
	// peerTimeout is for its answer.
	targetTimeout = 100 * time.Millisecond
)

// maxHandshakeBytes limits the header with which a peer answers, as that of any answer. What listens at the address
// of a peer that has ended may be something else.
const maxHandshakeBytes = 64 << 10

// tunnelKeepAlive detects that the other end of a tunnel is gone, which may be silent for as long as a
// request takes.
var tunnelKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3}

// tunnelConn is a connection to a target through a peer.
type tunnelConn struct {
	net.Conn
	peer   ident.Router
	buffer *bufio.Reader
	chunks io.Reader
}

// Read implements net.Conn. It returns io.EOF only if the target has ended the connection in order.
func (t *tunnelConn) Read(p []byte) (int, error) { return t.chunks.Read(p) }

// Peer returns the router that provides the tunnel.
func (t *tunnelConn) Peer() ident.Router { return t.peer }

// Buffered returns the number of bytes that were received and not read.
func (t *tunnelConn) Buffered() int { return t.buffer.Buffered() }

// SetLinger sets what happens to unsent bytes when the connection to the peer is closed.
func (t *tunnelConn) SetLinger(seconds int) error { return setLinger(t.Conn, seconds) }

// setLinger sets what happens to unsent bytes when a connection is closed, if it is a TCP connection.
func setLinger(c net.Conn, seconds int) error {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn for the connection to the peer.
func (t *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	c, ok := t.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a socket")
	}
	return c.SyscallConn()
}

// openTunnel connects to a target through one peer.
func (d *Dialer) openTunnel(ctx context.Context, p Peer, addr string) (net.Conn, error) {
	const op = "reach.openTunnel"
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := d.Tunnel(ctx, "tcp", p.Addr)
	if err != nil {
		return nil, fault.New(op, NoPeer, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	buffer, err := requestTunnel(c, p.Addr, addr)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &tunnelConn{Conn: c, peer: p.ID, buffer: buffer, chunks: httputil.NewChunkedReader(buffer)}, nil
}

// requestTunnel performs the handshake and returns the reader of what follows it.
func requestTunnel(c net.Conn, host, addr string) (*bufio.Reader, error) {
	const op = "reach.requestTunnel"
	req := &http.Request{
		Method: http.MethodGet, Host: host, URL: tunnelURL, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {tunnelProtocol}, targetHeader: {addr}, "User-Agent": {"v"}},
	}
	if err := req.Write(c); err != nil {
		return nil, fault.New(op, NoPeer, err)
	}
	limited := &io.LimitedReader{R: c, N: maxHandshakeBytes}
	buffer := bufio.NewReaderSize(limited, copyBufferBytes)
	resp, err := http.ReadResponse(buffer, req)
	if err == nil {
		err = head.Check(resp)
	}
	if err != nil {
		return nil, fault.New(op, NoPeer, err)
	}
	limited.N = math.MaxInt64
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, fault.Newf(op, failureKind(resp), "peer answered with status %d", resp.StatusCode)
	}
	return buffer, nil
}

// failureKind returns why a peer has not provided a tunnel.
func failureKind(resp *http.Response) Kind {
	switch kind := Kind(resp.Header.Get(failureHeader)); kind {
	case Refused, Unreachable, Unsure, UnsureRefused:
		return kind
	default:
		return Rejected
	}
}
