package relay

import (
	"context"
	"net"
	"testing"

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
