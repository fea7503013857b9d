package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/fake/listen"
	"valescale/internal/plat/memory"
)

// An answer without a marked end must not look complete on the product's own interface if its target resets the connection while
// the request is being written.
func TestEarlyAnswerThatIsResetIsNoReply(t *testing.T) {
	for _, size := range []int{9 << 10, 1 << 20, 8 << 20} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			addr := listen.Conns(t, func(c net.Conn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
				<-time.After(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			r, closeRelay := New(DefaultLimits)
			reply, err := r.Send(t.Context(), Call{
				Addr: addr, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, size), SingleUse: true, Timeout: time.Second,
			})
			if err == nil {
				reserved := memory.New(memory.MB, time.Now).Open(memory.Answers, memory.Owner{})
				if body, err := reply.Whole(reserved); err == nil {
					t.Errorf("%d bytes sent, reset after %v: %q counts as whole", size, pause, body)
				}
				reserved.Close()
			}
			closeRelay()
		}
	}
}
