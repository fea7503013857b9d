package asleep

import (
	"time"
	"unsafe"
)

// wallSecond is one second in the first word of a time.Time that has a monotonic reading: the
// word's low 30 bits hold the nanoseconds of the wall clock.
const wallSecond = 1 << 30

// For returns the time that a clock reads after a suspension of the given number of whole seconds,
// if it read t before. The wall clock of t has to be paired with a monotonic reading.
func For(t time.Time, seconds uint64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += seconds * wallSecond
	return t
}
