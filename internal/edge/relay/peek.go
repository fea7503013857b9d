package relay

import (
	"net"
	"syscall"
)

// Pending is the state of a connection's unread input.
type Pending int

const (
	// Empty means that the connection is open and has no unread bytes.
	Empty Pending = iota
	// Readable means that there are unread bytes.
	Readable
	// Ended means that the peer has closed the connection, or that it has failed.
	Ended
)

// Peek returns the state of a connection's input without reading it, also while another goroutine
// reads. A connection that is not a socket is reported as Empty.
func Peek(c net.Conn) Pending {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return Empty
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
			pending = Empty
		case err == nil && n > 0:
			pending = Readable
		}
	})
	if err != nil {
		return Ended
	}
	return pending
}
