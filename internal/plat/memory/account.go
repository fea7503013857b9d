package memory

import (
	"math"
	"sync"
	"time"

	"valescale/internal/plat/decay"
	"valescale/internal/plat/ident"
)

// Bytes is an amount of memory in bytes.
type Bytes int64

// Units of memory.
const (
	KB Bytes = 1 << 10
	MB Bytes = 1 << 20
)

// Use is what memory is kept for.
type Use int

const (
	// Bodies are requests' bodies, which are kept for further attempts until their requests end.
	Bodies Use = iota
	// Answers are answers that are buffered before they are sent, and incomplete events of streams.
	Answers
	// Streams are the parts of streams that callers have not read yet.
	Streams
	// Connections are the buffers of callers' connections.
	Connections
	// Tunnels are the buffers of connections that lead through this router.
	Tunnels
	useCount
)

// Uses contains all uses.
var Uses = []Use{Bodies, Answers, Streams, Connections, Tunnels}

// String returns the name of the use in metrics.
func (u Use) String() string {
	return [useCount]string{"bodies", "answers", "streams", "connections", "tunnels"}[u]
}

// Owner is whom memory is kept for.
type Owner struct {
	// Workspace is empty for memory that belongs to no workspace.
	Workspace ident.Workspace
	// Rank is the urgency of the request; a lower rank is more urgent. Ranks above the last one count as it.
	Rank int
}

const (
	// smallReservation is the size up to which a reservation counts as small: that of usual requests.
	smallReservation = 256 * KB
	// smallShare and largeShare are the multiples of the free memory that a workspace may use, with
	// small and with large reservations.
	smallShare = 16
	largeShare = 4
	// lastRank is the least urgent rank, and rankReserve the part of the limit that it leaves to the most
	// urgent one.
	lastRank    = 15
	rankReserve = 0.25
	// openReserve is the part of the limit that new connections and tunnels leave to the requests on the
	// existing ones.
	openReserve = 0.125
	// releaseHalfLife is the half-life of the rate at which memory is released. It covers several requests.
	releaseHalfLife = time.Second
	// turnoverTime is longer than most requests keep memory. After a quiet time no rate is known, and callers that are
	// refused together must not return together.
	turnoverTime = 2 * time.Second
)

// Account counts the memory that a box keeps for others, and limits it.
type Account struct {
	clock ident.Clock

	mu    sync.Mutex
	limit Bytes
	used  Bytes
	byUse [useCount]Bytes
	// byWorkspace contains the workspaces for which memory is kept.
	byWorkspace map[ident.Workspace]Bytes
	refused     [useCount]uint64
	// released is the decayed amount of memory that was released, as of releasedAt.
	released   float64
	releasedAt time.Time
}

// New returns an empty account.
func New(limit Bytes, clock ident.Clock) *Account {
	return &Account{clock: clock, limit: limit, byWorkspace: map[ident.Workspace]Bytes{}}
}

// SetLimit changes the limit. Memory that is kept already stays.
func (a *Account) SetLimit(limit Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// Usage is the state of an account.
type Usage struct {
	Limit Bytes
	Used  Bytes
	ByUse [useCount]Bytes
	// Refused counts the refusals by use.
	Refused [useCount]uint64
}

// RefusedTotal returns the number of refusals of all uses.
func (u Usage) RefusedTotal() uint64 {
	total := uint64(0)
	for _, count := range u.Refused {
		total += count
	}
	return total
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Limit: a.limit, Used: a.used, ByUse: a.byUse, Refused: a.refused}
}

// MaxReservation returns the size of the largest reservation, which has the account for itself.
func (a *Account) MaxReservation() Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit / 2
}

// TurnoverPerSecond returns the rate at which memory becomes free, in bytes per second: as measured, but at least the one
// that empties the account within turnoverTime.
func (a *Account) TurnoverPerSecond() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.releasedPerSecond(), float64(a.limit)/turnoverTime.Seconds())
}

// releasedPerSecond returns the rate at which memory was released by what was not refused. The caller holds the lock.
func (a *Account) releasedPerSecond() float64 {
	decayed := a.released * decay.Factor(a.clock().Sub(a.releasedAt), releaseHalfLife)
	return decayed * math.Ln2 / releaseHalfLife.Seconds()
}

// Open returns an empty reservation. It must be closed.
func (a *Account) Open(use Use, owner Owner) *Reservation {
	return &Reservation{account: a, use: use, owner: owner}
}

// add changes the size of a reservation. The caller holds the lock.
func (a *Account) add(r *Reservation, n Bytes) {
	r.size += n
	a.used += n
	a.byUse[r.use] += n
	if r.owner.Workspace == "" {
		return
	}
	a.byWorkspace[r.owner.Workspace] += n
	if a.byWorkspace[r.owner.Workspace] == 0 {
		delete(a.byWorkspace, r.owner.Workspace)
	}
}

// fits reports whether a reservation may grow by n. The caller holds the lock.
func (a *Account) fits(r *Reservation, n Bytes) bool {
	free := a.limit - a.used - n
	size := r.size + n
	if free < a.reserve(r) || size > free {
		return false
	}
	if r.owner.Workspace == "" {
		return true
	}
	share := Bytes(smallShare)
	if size > smallReservation {
		share = largeShare
	}
	return a.byWorkspace[r.owner.Workspace]+n <= share*free
}

// reserve returns how much of the limit must stay free when a reservation grows.
func (a *Account) reserve(r *Reservation) Bytes {
	if r.use == Connections || r.use == Tunnels {
		return Bytes(openReserve * float64(a.limit))
	}
	rank := min(max(r.owner.Rank, 0), lastRank)
	return Bytes(rankReserve * float64(a.limit) * float64(rank) / lastRank)
}

// recordReleased records that a reservation was closed. The caller holds the lock.
func (a *Account) recordReleased(n Bytes) {
	now := a.clock()
	a.released = a.released*decay.Factor(now.Sub(a.releasedAt), releaseHalfLife) + float64(n)
	a.releasedAt = now
}
