package memory

import "runtime/debug"

const (
	// heapRatio is the part of a box's memory that the collector may let the process use. The rest is for
	// the program's code, the buffers of sockets and what the collector misses for a moment.
	heapRatio = 0.75
	// keptRatio is the part of that memory, less the base, which is kept for others at most. The rest is
	// garbage that is not collected yet.
	keptRatio = 2.0 / 3
	// baseSize is what a process needs without requests, targets and other routers, and memberSize what it
	// needs for each of these.
	baseSize   = 20 * MB
	memberSize = 8 * KB
	// minLimitRatio is the part of a box's memory that is kept for others at least.
	minLimitRatio = 1.0 / 8
)

// LimitOf returns the limit of the account of a box with the given memory, which lists so many targets and
// routers.
func LimitOf(box Bytes, members int) Bytes {
	base := baseSize + memberSize*Bytes(members)
	limit := keptRatio * (heapRatio*float64(box) - float64(base))
	return max(Bytes(limit), Bytes(minLimitRatio*float64(box)))
}

// SetCollectorLimit has the collector keep the process within the memory of its box. It applies to the whole
// process.
func SetCollectorLimit(box Bytes) { debug.SetMemoryLimit(int64(heapRatio * float64(box))) }
