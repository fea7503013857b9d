package reach

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/memory"
	"valescale/internal/plat/sock"
)

var tunnelURL = &url.URL{Path: TunnelPath}

const (
	// copyBufferBytes is the size of the buffer for one direction of a tunnel, enough for an event.
	copyBufferBytes = 4 << 10
	// maxTunnels is the maximum number of tunnels of one router: a small part of the descriptors of a
	// small box, which its own callers need.
	maxTunnels = 512
	// tunnelSize is the memory of a tunnel: the buffers of both connections and the stacks of two goroutines.
	tunnelSize = 48 * memory.KB
)

// ServerParts contains the dependencies of a tunnel server.
type ServerParts struct {
	Dialer *Dialer
	// IsRouter reports whether an address is that of a router. Nobody else may ask for tunnels.
	IsRouter func(remote string) bool
	// IsTarget reports whether new work may be sent to the target at an address.
	IsTarget func(addr string) bool
	// Accepting reports whether this router accepts tunnels: it is not stopping or overloaded.
	Accepting func() bool
	// Memory is the account of what this router keeps for others.
	Memory *memory.Account
}

// Server provides tunnels to peers.
type Server struct {
	ServerParts
	mu   sync.Mutex
	open map[net.Conn]bool
	// ended is signaled after a tunnel has ended.
	ended *sync.Cond
}

// NewServer returns a server of tunnels.
func NewServer(parts ServerParts) *Server {
	s := &Server{ServerParts: parts, open: map[net.Conn]bool{}}
	s.ended = sync.NewCond(&s.mu)
	return s
}

// ServeHTTP connects to the target of a request for a tunnel and copies bytes until either end closes.
// It uses only direct paths, so that no tunnel leads through two routers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr := r.Header.Get(targetHeader)
	switch {
	case r.Header.Get("Upgrade") != tunnelProtocol:
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	case !s.IsRouter(r.RemoteAddr):
		w.WriteHeader(http.StatusForbidden)
		return
	case !s.IsTarget(addr):
		w.WriteHeader(http.StatusNotFound)
		return
	case !s.Accepting() || s.Dialer.CutOff() || s.count() >= maxTunnels:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reserved := s.Memory.Open(memory.Tunnels, memory.Owner{})
	defer reserved.Close()
	if !reserved.Grow(tunnelSize) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	defer cancel()
	a := s.Dialer.dialDirect(ctx, addr)
	if a.err != nil {
		s.writeFailure(w, addr, a.err)
		return
	}
	defer a.conn.Close()
	s.tunnel(w, a.conn)
}

// writeFailure answers that the target could not be reached. A router that does not know of any target that
// it reaches finds that out for the next request.
func (s *Server) writeFailure(w http.ResponseWriter, addr string, err error) {
	if fault.IsLocalResourceError(err) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind := s.connectKind(err)
	if kind == Unsure || kind == UnsureRefused {
		s.Dialer.tryOthers(addr)
	}
	w.Header().Set(failureHeader, string(kind))
	w.WriteHeader(http.StatusBadGateway)
}

// connectKind returns the kind of a failure to connect to a target.
func (s *Server) connectKind(err error) Kind {
	sound := s.Dialer.paths.sound(s.Dialer.Clock())
	refused := errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case sound && refused:
		return Refused
	case sound:
		return Unreachable
	case refused:
		return UnsureRefused
	default:
		return Unsure
	}
}

// tunnel upgrades the connection of a request and copies in both directions.
func (s *Server) tunnel(w http.ResponseWriter, target net.Conn) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	defer c.Close()
	s.add(c)
	defer s.remove(c)
	_, err = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+tunnelProtocol+"\r\n\r\n")
	if err != nil {
		return
	}
	request := sock.NewWrite()
	var requests sync.WaitGroup
	requests.Go(func() {
		// The end of the caller's side ends the request, so the target must see it at once.
		defer target.Close()
		_, err := io.CopyBuffer(onlyWriter{target}, onlyReader{buffered.Reader}, make([]byte, copyBufferBytes))
		request.End(err)
		if err != nil {
			// The request was given up. If the option cannot be set, the connection is closed normally.
			_ = setLinger(target, 0)
		}
	})
	copyAnswers(c, target, request)
	_ = c.Close()
	_ = target.Close()
	requests.Wait()
}

// onlyReader and onlyWriter hide the type of a connection, so that io.CopyBuffer uses its buffer.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// copyAnswers copies what the target sends, in chunks. Only the end of a connection that the target has
// closed in order is marked, and not reset while the request was written.
func copyAnswers(to, target net.Conn, request *sock.Write) {
	out := bufio.NewWriterSize(to, copyBufferBytes)
	chunks := httputil.NewChunkedWriter(out)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := target.Read(buffer)
		if n > 0 {
			if _, writeErr := chunks.Write(buffer[:n]); writeErr != nil || out.Flush() != nil {
				return
			}
		}
		if err == io.EOF && !request.WasReset(target) {
			// The peer sees a broken tunnel if these writes fail.
			_ = chunks.Close()
			_, _ = out.WriteString("\r\n")
			_ = out.Flush()
		}
		if err != nil {
			return
		}
	}
}

// add records an open tunnel.
func (s *Server) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
}

// remove records the end of a tunnel.
func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.ended.Broadcast()
}

// count returns the number of open tunnels.
func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Shutdown waits until all tunnels have ended, which their peers do once this router is leaving, and
// closes the rest when the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.open {
			_ = c.Close()
		}
		s.ended.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.open) > 0 && ctx.Err() == nil {
		s.ended.Wait()
	}
	return ctx.Err()
}
