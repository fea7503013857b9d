package relay

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Exhausted resources and delays of this box are not failures of a target.
func TestLocalDialFailures(t *testing.T) {
	of := func(err error) error { return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)} }
	refused := of(syscall.ECONNREFUSED)
	got := []Kind{
		dialErrorKind(of(syscall.EMFILE), 0), dialErrorKind(of(syscall.EADDRNOTAVAIL), time.Second),
		dialErrorKind(refused, time.Second), dialErrorKind(refused, 0), dialErrorKind(errors.New("i/o timeout"), time.Millisecond),
	}
	want := []Kind{Exhausted, Exhausted, HeldUp, Connect, Connect}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
