package listen

import (
	"net"
	"testing"
)

// Conns listens on a new loopback address until the test ends, and returns the address. It calls
// serve for each connection, in a goroutine of its own; serve closes the connection.
func Conns(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}
