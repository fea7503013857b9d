package scarce

import (
	"syscall"
	"testing"
)

// standardStreams are the descriptors below the limit, which are always taken.
const standardStreams = 3

// Descriptors has this process get no descriptor beyond those that it has open, until the test
// ends.
func Descriptors(t *testing.T) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	})
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: standardStreams, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
}
