package entry

import (
	"net"
	"net/http"

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

// CallerConns charges the connections of callers to the memory of the box.
type CallerConns struct{ reserved *memory.Reservation }

// NewCallerConns returns an account of no connections, and the function that closes it.
func NewCallerConns(account *memory.Account) (*CallerConns, func()) {
	reserved := account.Open(memory.Connections, memory.Owner{})
	return &CallerConns{reserved: reserved}, reserved.Close
}

// StateChanged records that a connection was accepted or has ended. It is a http.Server.ConnState callback.
func (c *CallerConns) StateChanged(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.reserved.Add(connSize)
	case http.StateClosed, http.StateHijacked:
		c.reserved.Shrink(connSize)
	}
}

// hasRoom reports whether there is room for another connection.
func (c *CallerConns) hasRoom() bool { return c.reserved.CanGrow(connSize) }
