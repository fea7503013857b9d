package sock

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control calls a function with the descriptor of a connection or a listener and reports whether that succeeded.
func Control(c any, f func(fd int) error) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { err = f(int(fd)) }) == nil && err == nil
}

// Info returns what the kernel reports about a connection, and whether it does. A connection that this process has closed
// has none.
func Info(c net.Conn) (info *unix.TCPInfo, known bool) {
	known = Control(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, known
}

// IsEstablished reports whether a connection is open in both directions, or nothing is known of it.
func IsEstablished(c net.Conn) bool {
	info, known := Info(c)
	return !known || info.State == unix.BPF_TCP_ESTABLISHED
}

// Write is the writing of a request to a connection that another goroutine reads.
type Write struct {
	done chan struct{}
	err  error
}

// NewWrite returns a write that has not ended.
func NewWrite() *Write { return &Write{done: make(chan struct{})} }

// End ends the write, with the error that has ended it or nil. It is called once.
func (w *Write) End(err error) {
	w.err = err
	close(w.done)
}

// Succeeded reports whether the write has ended without an error.
func (w *Write) Succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// writeErrorTime is the time within which a goroutine that writes learns that its connection is closed.
const writeErrorTime = 100 * time.Millisecond

// WasReset reports whether a connection was reset whose input has ended. The kernel reports a reset only once, to the
// goroutine that asks first: if that is the one that writes, the other one reads an end in order. An input that the other
// end closed in order before it reset the connection is complete, and reported as a broken pipe.
func (w *Write) WasReset(c net.Conn) bool {
	if info, known := Info(c); known && info.State == unix.BPF_TCP_CLOSE {
		w.wait(writeErrorTime)
	}
	select {
	case <-w.done:
		return errors.Is(w.err, syscall.ECONNRESET)
	default:
		return false
	}
}

// wait waits until the write has ended, for the given time at most.
func (w *Write) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
