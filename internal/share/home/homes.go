package home

import (
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
)

// Limits bounds the waiting at one shard.
type Limits struct {
	// Queue is how many requests wait at a shard, PerWorkspace how many of one workspace.
	Queue        int
	PerWorkspace int
}

// DefaultLimits bound the waiting requests of a shard: some seconds' worth of a shard's
// requests at a few hundred a second, a quarter of that for one workspace.
var DefaultLimits = Limits{Queue: 2000, PerWorkspace: 500}

// Homes holds what this router is home of.
type Homes struct {
	mu          sync.Mutex
	self        ident.Router
	limits      Limits
	clock       ident.Clock
	shards      map[place.ShardID]*shard
	pools       map[ident.Pool]*poolInfo
	names       map[ident.PoolHash]ident.Pool
	peerDigests map[place.ShardID]map[ident.Router]receivedDigest
	buckets     map[ident.Workspace]*quota.Bucket
	rates       func(ident.Workspace) (policy.Workspace, bool)
	seq         uint64
	// lastDigests say of shards that moved on that nothing is counted here any more.
	finalDigests []place.Digest
	// doubted are routers that may be gone.
	suspectEdges []ident.Router
	// replicas are the chat places of shards of which this router is next in line.
	replicas map[place.ShardID]*place.Replica
	// onBlocked is told of engines that get no new work for a while; it may be nil.
	onBlocked func(Blocked)
	// regrouped are chat places of shards that are not theirs any more.
	resharded []Transfer
	// urgent is signalled when a shard's count jumped and others should know at once.
	urgent chan struct{}
}

// poolInfo is what is known of a pool.
type poolInfo struct {
	roster *place.Roster
	bound  place.Bound
}

// shard is a shard of which this router is home.
type shard struct {
	home  *place.Home
	queue *quota.Queue
	rate  releaseRate
	// returns are the times that refused callers were told.
	retryDelays quota.Returns
	published   place.Digest
	publishedAt time.Time
	// jumped is set when permits came or went other than one by one.
	urgent bool
	// standby is the router next in line that has all chat places.
	standby ident.Router
	// movedTo is the router that has the chat places as the shard's home, empty while this one is.
	movedTo ident.Router
	// corrected are the corrections that nobody was told of yet.
	correction Correction
}

// New returns homes that hold nothing yet; rates gives a workspace's limits in force.
func New(self ident.Router, limits Limits, clock ident.Clock, rates func(ident.Workspace) (policy.Workspace, bool)) *Homes {
	return &Homes{
		self:        self,
		limits:      limits,
		clock:       clock,
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

// SetPool replaces what is known of a pool's engines.
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
			// A home made before its pool was known has the default bound.
			s.home.SetBound(bound)
			s.home.SetRoster(roster)
			h.dispatch(s)
		}
	}
}

// at returns the home of a shard, made on first use.
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
	if info != nil {
		s.home.SetRoster(info.roster)
	}
	h.mergeReceived(s, bound.DigestLife)
	if replica, ok := h.replicas[id]; ok {
		s.home.Adopt(replica)
		delete(h.replicas, id)
	}
	s.home.Doubt(h.suspectEdges)
	h.shards[id] = s
	return s
}

// mergeHeard tells a new home what other homes have published within a digest's life.
func (h *Homes) mergeReceived(s *shard, life time.Duration) {
	for _, byHome := range h.peerDigests {
		for _, l := range byHome {
			if h.clock().Sub(l.at) <= life {
				s.home.Merge(l.at, l.digest)
			}
		}
	}
}

// unnamed is the pool of a request for a pool that is not known here.
const unknownPool ident.Pool = ""

// poolName returns the name of a pool by its hash.
func (h *Homes) poolByHash(hash ident.PoolHash) ident.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name, ok := h.names[hash]; ok {
		return name
	}
	return unknownPool
}
