package listen

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// StallingProxy is a TCP proxy whose connections can be made to stall: they stay open without a
// reset and deliver nothing more, while new connections work.
type StallingProxy struct {
	// Addr is the address that the proxy listens on.
	Addr string
	// stalls counts how often the open connections were stalled. A connection stalls once the count
	// differs from the one at which the connection was accepted.
	stalls atomic.Int64
}

// NewStallingProxy returns a StallingProxy to the server at an address. It accepts connections
// until the test ends.
func NewStallingProxy(t *testing.T, to string) *StallingProxy {
	t.Helper()
	p := &StallingProxy{}
	p.Addr = Conns(t, func(from net.Conn) { p.proxy(from, to) })
	return p
}

// Stall stalls all connections that are open now for good.
func (p *StallingProxy) Stall() { p.stalls.Add(1) }

// proxy forwards the bytes of one connection in both directions.
func (p *StallingProxy) proxy(from net.Conn, to string) {
	generation := p.stalls.Load()
	server, err := net.Dial("tcp", to)
	if err != nil {
		_ = from.Close()
		return
	}
	go p.copy(server, from, generation)
	p.copy(from, server, generation)
}

// copy forwards bytes in one direction until the connection stalls or is closed.
func (p *StallingProxy) copy(to, from net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if p.stalls.Load() != generation {
			// The bytes are dropped, and neither end gets a reset.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
