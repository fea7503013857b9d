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

// What this box lacks, or notices late, says nothing of a target.
func TestDialsThatSayNothingOfTheTarget(t *testing.T) {
	of := func(err error) error { return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)} }
	refused := of(syscall.ECONNREFUSED)
	got := []Kind{
		dialKind(of(syscall.EMFILE), 0), dialKind(of(syscall.EADDRNOTAVAIL), time.Second),
		dialKind(refused, time.Second), dialKind(refused, 0), dialKind(errors.New("i/o timeout"), time.Millisecond),
	}
	want := []Kind{Exhausted, Exhausted, HeldUp, Connect, Connect}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
