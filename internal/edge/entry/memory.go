package entry

import (
	"valescale/internal/plat/memory"
)

// connSize is the memory of a caller's connection: its buffers and the stack of its goroutine.
const connSize = 16 * memory.KB

// owner returns for whom memory of the request is kept.
func (j *job) owner() memory.Owner {
	return memory.Owner{Workspace: j.workspace.Name, Rank: j.workspace.Rank + j.route.Rank}
}

// noRoom returns the problem for a request of the given size, or -1 if it is unknown, that this box has no memory
// for. The caller is to return when as much has been released.
func (h *Handler) noRoom(size int64) *problem {
	return rejection(NoMemory, h.memoryDelays.Next(h.Clock(), h.Memory.TurnoverPerSecond(), size))
}
