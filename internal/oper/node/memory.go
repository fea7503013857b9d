package node

import (
	"context"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sys/unix"

	"valescale/internal/oper/mesh"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/memory"
)

const (
	// DefaultMemory is the memory of a box whose settings do not contain it: that of a small one.
	DefaultMemory = 256 * memory.MB
	// memoryInterval is the interval at which the limit of the memory kept for others follows the size of the
	// fleet, of which a router learns within seconds.
	memoryInterval = time.Second
)

// socketBufferBytes is the size of each of the kernel's two buffers of a connection to a caller or a target. The kernel
// would let those of busy connections grow to megabytes, which wait there while the other end does not read. A
// connection of a few milliseconds transmits 10 MB in a second through them.
const socketBufferBytes = 64 << 10

// fixBuffers gives a socket buffers of fixed size. A system that does not support that keeps its own sizes.
func fixBuffers(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
	})
}

// followMemory adapts the limit of the memory kept for others until the context ends, and logs refusals.
func (n *Node) followMemory(ctx context.Context) {
	refused := n.memory.Usage().RefusedTotal()
	mesh.RunEvery(ctx, memoryInterval, func(context.Context) {
		n.memory.SetLimit(memory.LimitOf(n.settings.Load().Memory, n.state.targetCount()+n.fleetSize()))
		usage := n.memory.Usage()
		if total := usage.RefusedTotal(); total != refused {
			n.logRefused(usage, total-refused)
			refused = total
		}
	})
}

// logRefused logs that there was no memory for others in the last interval.
func (n *Node) logRefused(usage memory.Usage, count uint64) {
	fields := []any{"msg", "no memory left for others", "refused", count, "limit_bytes", int64(usage.Limit), "used_bytes", int64(usage.Used)}
	for _, use := range memory.Uses {
		fields = append(fields, use.String()+"_bytes", int64(usage.ByUse[use]))
	}
	_ = level.Warn(n.Logger).Log(fields...)
}

// memoryMetrics returns the metrics of the memory kept for others.
func (n *Node) memoryMetrics() []telem.LabeledMetric {
	read := func(value func(u memory.Usage, use memory.Use) float64) func() []telem.LabeledReading {
		return func() []telem.LabeledReading {
			usage := n.memory.Usage()
			var out []telem.LabeledReading
			for _, use := range memory.Uses {
				out = append(out, telem.LabeledReading{Labels: []string{use.String()}, Value: value(usage, use)})
			}
			return out
		}
	}
	return []telem.LabeledMetric{
		{
			Name: "valescale_kept_bytes", Help: "Memory kept for others by what it is used for.", Labels: []string{"use"},
			Read: read(func(u memory.Usage, use memory.Use) float64 { return float64(u.ByUse[use]) }),
		},
		{
			Name: "valescale_memory_refusals_total", Help: "Refusals for want of memory by what it was for.", Labels: []string{"use"}, IsCounter: true,
			Read: read(func(u memory.Usage, use memory.Use) float64 { return float64(u.Refused[use]) }),
		},
	}
}
