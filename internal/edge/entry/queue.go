package entry

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"valescale/internal/plat/sock"
)

const (
	// queueTimeout is how long a listener that is to be closed accepts the callers that it has queued; the system resets
	// those that are left. It is a small part of a planned stop.
	queueTimeout = 500 * time.Millisecond
	// queuePollInterval is the interval at which it is checked whether any are left.
	queuePollInterval = 2 * time.Millisecond
)

// closeOnceAccepted closes a listener once the callers that it has queued are accepted, or at a deadline. Another goroutine
// must accept them.
func closeOnceAccepted(l net.Listener, deadline time.Time) error {
	waitWhile(func() bool { return hasQueued(l) }, deadline)
	return l.Close()
}

// waitWhile waits while a condition holds, up to a deadline.
func waitWhile(condition func() bool, deadline time.Time) {
	for condition() && time.Now().Before(deadline) {
		time.Sleep(queuePollInterval)
	}
}

// hasQueued reports whether connections wait to be accepted by a listener.
func hasQueued(l net.Listener) bool {
	queued := 0
	known := sock.Control(l, func(fd int) (err error) {
		queued, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return known && queued > 0
}
