package relay

import (
	"net"
	"syscall"
)

// Pending is what waits to be read on a connection.
type Pending int

const (
	// Quiet means that the connection is open and nothing waits.
	Quiet Pending = iota
	// Readable means that bytes wait.
	Readable
	// Ended means that the other side has closed the connection, or it has failed.
	Ended
)

// Peek looks at what waits on a connection without reading it, also while another
// goroutine reads. A connection that is no socket looks quiet.
func Peek(c net.Conn) Pending {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Ended
	}
	pending := Ended
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			pending = Quiet
		case err == nil && n > 0:
			pending = Readable
		}
	})
	if err != nil {
		return Ended
	}
	return pending
}
