package sock

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// endedConn returns a connection whose input has ended, and the write that goes on meanwhile. The other end sends a part and
// ends the connection by the given function.
func endedConn(t *testing.T, end func(c *net.TCPConn)) (net.Conn, *Write) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		other, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(other, "part")
		<-time.After(20 * time.Millisecond)
		end(other.(*net.TCPConn))
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	w := NewWrite()
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		w.End(err)
	}()
	// The writing goroutine is the first to learn how the connection has ended.
	<-time.After(100 * time.Millisecond)
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Fatal("the reading goroutine was told of the reset: ", err)
	}
	return c, w
}

// A reset that the writing goroutine was told of must not look like an end in order to the one that reads, nor an end in order
// like a reset.
func TestResetIsKnownToTheReader(t *testing.T) {
	got := map[string]bool{}
	for name, end := range map[string]func(*net.TCPConn){
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
		"end in order, then reset": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			<-time.After(20 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		},
		"end in order": func(c *net.TCPConn) { _ = c.CloseWrite() },
	} {
		c, w := endedConn(t, end)
		got[name] = w.WasReset(c)
	}
	want := map[string]bool{"reset": true, "end in order, then reset": false, "end in order": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
