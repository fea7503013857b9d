package relay

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/listen"
)

// refusedDialer is a directDialer that reports whether addresses refuse connections.
type refusedDialer struct {
	directDialer
	refused bool
}

// Refused implements Dialer.
func (d refusedDialer) Refused(context.Context, string) bool { return d.refused }

// Guards against broken answers that count as complete because their target has ended, and against whole
// ones that count as broken because their target cannot be reached.
func TestTargetHasEnded(t *testing.T) {
	running := listen.Conns(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)); _ = c.Close() })
	const closed = "127.0.0.1:1"
	var got []bool
	for _, c := range []struct {
		addr    string
		refused bool
	}{{running, false}, {closed, true}, {closed, false}} {
		conns, closeConns := NewConns(DefaultConnLimits, refusedDialer{refused: c.refused})
		got = append(got, conns.HasEnded(t.Context(), c.addr, 0))
		closeConns()
	}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

// delayedDialer is the dialer of a router that is delayed in its first attempt to connect. Nothing listens, which shows only
// before the context ends.
type delayedDialer struct {
	directDialer
	dials *int
}

// Dial implements Dialer.
func (d delayedDialer) Dial(context.Context, string) (net.Conn, error) {
	if *d.dials++; *d.dials == 1 {
		<-time.After(endTimeout + 2*LocalDelayThreshold)
	}
	return nil, syscall.ECONNREFUSED
}

// Refused implements Dialer.
func (d delayedDialer) Refused(ctx context.Context, _ string) bool { return ctx.Err() == nil }

// Guards against a broken answer that counts as complete because its router was paused while it checked whether the target
// has ended.
func TestTargetHasEndedWhileTheRouterWasDelayed(t *testing.T) {
	dials := 0
	conns, closeConns := NewConns(DefaultConnLimits, delayedDialer{dials: &dials})
	defer closeConns()
	if !conns.HasEnded(t.Context(), "127.0.0.1:1", 0) || dials != 2 {
		t.Errorf("the end of the target was not found in %d checks", dials)
	}
}

// Guards against a connection that is made for each answer without a marked end and used for nothing else.
func TestConnectionOfTheCheckIsKept(t *testing.T) {
	addr := listen.Conns(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)); _ = c.Close() })
	conns, closeConns := NewConns(DefaultConnLimits, directDialer{})
	defer closeConns()
	for range 2 {
		conns.HasEnded(t.Context(), addr, 1)
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if got := len(conns.idle[addr]); got != 1 {
		t.Errorf("%d idle connections, want 1: as many as the target may have", got)
	}
}

// closingDialer is the dialer to a target whose process has ended and whose listener the kernel closes a moment later. A
// connection that is made before seems open for good.
type closingDialer struct {
	directDialer
	closedAt time.Time
	open     string
}

// Dial implements Dialer.
func (d closingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if time.Now().Before(d.closedAt) {
		return d.directDialer.Dial(ctx, d.open)
	}
	return nil, syscall.ECONNREFUSED
}

// Refused implements Dialer.
func (d closingDialer) Refused(context.Context, string) bool { return !time.Now().Before(d.closedAt) }

// Guards against a broken answer that counts as complete because the check of its target's process was made while the kernel
// closed the listener: the connection was dropped at its other end without a reset.
func TestTargetHasEndedWhileItsListenerIsClosed(t *testing.T) {
	open := listen.Conns(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)); _ = c.Close() })
	conns, closeConns := NewConns(DefaultConnLimits, closingDialer{closedAt: time.Now().Add(teardownDelay / 2), open: open})
	defer closeConns()
	if !conns.HasEnded(t.Context(), "127.0.0.1:1", 0) {
		t.Error("the end of the target was not found")
	}
}
