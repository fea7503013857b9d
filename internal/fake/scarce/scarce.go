package scarce

import (
	"syscall"
	"testing"
)

// standardStreams is the number of descriptors of the standard streams. They are always in use, so
// that a limit of this number leaves no descriptor free.
const standardStreams = 3

// ExhaustDescriptors prevents this process from opening further file descriptors until the test
// ends. Those that are open stay usable.
func ExhaustDescriptors(t *testing.T) {
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
