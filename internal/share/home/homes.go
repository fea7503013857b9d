package home

import (
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
)

// Limits bounds the queue of a shard.
type Limits struct {
	// Queue is the maximum number of queued requests of a shard, PerWorkspace that of one
	// workspace.
	Queue        int
	PerWorkspace int
}

// DefaultLimits allow some seconds of a shard's traffic at a few hundred requests per second, and a
// quarter of that for one workspace.
var DefaultLimits = Limits{Queue: 2000, PerWorkspace: 500}

// Homes holds the shards and workspaces of which this router is home.
type Homes struct {
	mu          sync.Mutex
	self        ident.Router
	limits      Limits
	clock       ident.Clock
	startedAt   time.Time
	shards      map[place.ShardID]*shard
	pools       map[ident.Pool]*poolInfo
	names       map[ident.PoolHash]ident.Pool
	peerDigests map[place.ShardID]map[ident.Router]receivedDigest
	buckets     map[ident.Workspace]*quota.Bucket
	rates       func(ident.Workspace) (policy.Workspace, bool)
	seq         uint64
	// finalDigests are the empty digests of shards that were removed after their transfer to
	// another home.
	finalDigests []place.Digest
	// suspectEdges are routers that may have crashed.
	suspectEdges []ident.Router
	// replicas are the chat places of shards of which this router is a standby.
	replicas map[place.ShardID]*place.Replica
	// onBlocked is called for each engine that is blocked; it may be nil.
	onBlocked func(Blocked)
	// resharded are chat places that belong to other shards since a change of the number of shards.
	resharded []Transfer
	// urgent is signalled when a permit count has changed by more than one grant or release and
	// should be published at once.
	urgent chan struct{}
}

// poolInfo is the roster and the bound of a pool.
type poolInfo struct {
	roster *place.Roster
	bound  place.Bound
}

// shard is a shard of which this router is home.
type shard struct {
	home  *place.Home
	queue *quota.Queue
	// resumed are the waiting requests that only engines of one version may run.
	resumed []*queuedRequest
	rate    releaseRate
	// retryDelays spreads the Retry-After delays of rejected requests.
	retryDelays quota.RetryDelays
	published   place.Digest
	publishedAt time.Time
	// urgent is set when the permit count has changed by more than one grant or release.
	urgent bool
	// standby is the first standby, which has a replica of all chat places.
	standby ident.Router
	// movedTo is the router that has received the chat places as the new home of the shard, empty
	// while this router is home.
	movedTo ident.Router
	// correction accumulates the corrections since the last call of Corrections.
	correction Correction
}

// New returns a Homes without shards. The function rates returns the limits of a workspace in the
// configuration in force.
func New(self ident.Router, limits Limits, clock ident.Clock, rates func(ident.Workspace) (policy.Workspace, bool)) *Homes {
	return &Homes{
		self:        self,
		limits:      limits,
		clock:       clock,
		startedAt:   clock(),
		shards:      map[place.ShardID]*shard{},
		pools:       map[ident.Pool]*poolInfo{},
		names:       map[ident.PoolHash]ident.Pool{},
		peerDigests: map[place.ShardID]map[ident.Router]receivedDigest{},
		buckets:     map[ident.Workspace]*quota.Bucket{},
		rates:       rates,
		seq:         uint64(clock().UnixMilli()),
		urgent:      make(chan struct{}, 1),
		replicas:    map[place.ShardID]*place.Replica{},
	}
}

// SetPool replaces the roster and the bound of a pool.
func (h *Homes) SetPool(name ident.Pool, bound place.Bound, roster *place.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.names[name.Hash()] = name
	if before := h.pools[name]; before != nil && before.roster.Shards() != roster.Shards() {
		h.reshard(name, bound, roster)
	}
	h.pools[name] = &poolInfo{roster: roster, bound: bound}
	for id, s := range h.shards {
		if id.Pool == name {
			// A home that was created before its pool was set has the default bound.
			s.home.SetBound(bound)
			s.home.SetRoster(roster)
			h.dispatch(s)
		}
	}
}

// placesRecoveryTime is the time after the start of a router for which its homes may lack places that
// the homes of the same shards had before. Most chats return within it.
const placesRecoveryTime = 10 * time.Second

// getOrCreate returns the shard with the given id and creates it on first use.
func (h *Homes) getOrCreate(id place.ShardID) *shard {
	s, ok := h.shards[id]
	if ok {
		return s
	}
	info := h.pools[id.Pool]
	bound := place.DefaultBound
	if info != nil {
		bound = info.bound
	}
	s = &shard{
		home:  place.NewHome(id, h.self, bound, h.seq),
		queue: quota.NewQueue(h.limits.Queue, h.limits.PerWorkspace),
	}
	s.home.SetRecovering(h.startedAt.Add(placesRecoveryTime))
	if info != nil {
		s.home.SetRoster(info.roster)
	}
	h.mergeReceived(s, bound.DigestTTL)
	if replica, ok := h.replicas[id]; ok {
		s.home.AdoptReplica(replica)
		delete(h.replicas, id)
	}
	s.home.SetSuspectEdges(h.suspectEdges)
	h.shards[id] = s
	return s
}

// mergeReceived merges the digests of other homes that are not older than ttl into a new home.
func (h *Homes) mergeReceived(s *shard, ttl time.Duration) {
	for _, byHome := range h.peerDigests {
		for _, l := range byHome {
			if h.clock().Sub(l.at) <= ttl {
				s.home.Merge(l.at, l.digest)
			}
		}
	}
}

// unknownPool is the pool name of requests whose pool hash is not in the configuration of this
// router.
const unknownPool ident.Pool = ""

// poolByHash returns the name of the pool with the given hash, or unknownPool.
func (h *Homes) poolByHash(hash ident.PoolHash) ident.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name, ok := h.names[hash]; ok {
		return name
	}
	return unknownPool
}
