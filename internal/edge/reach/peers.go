package reach

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

const (
	// peerMemory is how long a router remembers whether a peer could provide a tunnel.
	peerMemory = 5 * time.Second
	// parallelPeers is the number of peers that are asked at once while the first of them has provided
	// no tunnel recently: it may be cut off as well without having found out.
	parallelPeers = 2
	// maxPeers is the number of peers that are asked for one tunnel.
	maxPeers = 4
	// enoughPeers is the number of peers after which a router that found none to help takes targets for
	// down. It goes on asking others.
	enoughPeers = 16
)

// peerRecord records which peers could provide a tunnel and which could not.
type peerRecord struct {
	mu sync.Mutex
	// workedAt and failedAt are the times of the latest results.
	workedAt map[ident.Router]time.Time
	failedAt map[ident.Router]time.Time
}

func newPeerRecord() *peerRecord {
	return &peerRecord{workedAt: map[ident.Router]time.Time{}, failedAt: map[ident.Router]time.Time{}}
}

// worked records a peer that has provided a tunnel.
func (r *peerRecord) worked(id ident.Router, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workedAt[id] = now
	delete(r.failedAt, id)
}

// failed records peers that could not provide a tunnel.
func (r *peerRecord) failed(now time.Time, ids ...ident.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.failedAt[id] = now
		delete(r.workedAt, id)
	}
}

// noneHelps reports whether all of the given peers failed recently, or many of them and no other worked.
func (r *peerRecord) noneHelps(peers []Peer, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := 0
	for _, p := range peers {
		switch {
		case now.Sub(r.workedAt[p.ID]) < peerMemory:
			return false
		case now.Sub(r.failedAt[p.ID]) < peerMemory:
			failed++
		}
	}
	return failed >= min(enoughPeers, len(peers))
}

// order returns the peers to ask, those that worked recently first and those that failed recently last, the
// latest at the end, and how many to ask at once.
func (r *peerRecord) order(peers []Peer, now time.Time) (order []Peer, parallel int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unknown, failed []Peer
	for _, p := range peers {
		switch {
		case now.Sub(r.workedAt[p.ID]) < peerMemory:
			order = append(order, p)
		case now.Sub(r.failedAt[p.ID]) < peerMemory:
			failed = append(failed, p)
		default:
			unknown = append(unknown, p)
		}
	}
	slices.SortStableFunc(failed, func(a, b Peer) int { return r.failedAt[a.ID].Compare(r.failedAt[b.ID]) })
	order = slices.Concat(order, unknown, failed)
	order = order[:min(maxPeers, len(order))]
	parallel = min(parallelPeers, len(order))
	if len(order) > 0 && now.Sub(r.workedAt[order[0].ID]) < peerMemory {
		parallel = 1
	}
	return order, parallel
}

// peerResult is the result of one peer.
type peerResult struct {
	peer Peer
	conn net.Conn
	err  error
}

// tunnelSearch asks peers for a tunnel to one target.
type tunnelSearch struct {
	dialer  *Dialer
	addr    string
	peers   []Peer
	results chan peerResult
	// started and ended count the peers that were asked and that have answered.
	started, ended int
	// unable contains the peers that reach other targets and could not connect to this one.
	unable []ident.Router
	// kind is that of the most telling failure so far, failures are those of all peers, for logs.
	kind     Kind
	failures []string
}

// dialTunnel connects to a target through a peer. It asks several peers, one or two at a time, and
// returns the first tunnel.
func (d *Dialer) dialTunnel(ctx context.Context, addr string) (net.Conn, error) {
	peers, parallel := d.peerRecord.order(d.Peers(), d.Clock())
	ctx, cancel := context.WithCancel(ctx)
	s := &tunnelSearch{dialer: d, addr: addr, peers: peers, results: make(chan peerResult, len(peers)), kind: NoPeer}
	defer s.discardRest()
	defer cancel()
	for range parallel {
		s.askNext(ctx)
	}
	for s.ended < s.started {
		r := <-s.results
		s.ended++
		if r.err == nil {
			d.peerRecord.worked(r.peer.ID, d.Clock())
			d.peerRecord.failed(d.Clock(), s.unable...)
			return r.conn, nil
		}
		s.record(ctx, r)
		s.askNext(ctx)
	}
	return nil, fault.Newf("reach.dialTunnel", s.kind, "%s", strings.Join(s.failures, ", "))
}

// askNext asks the next peer, if there is one and time is left.
func (s *tunnelSearch) askNext(ctx context.Context) {
	if s.started == len(s.peers) || ctx.Err() != nil {
		return
	}
	p := s.peers[s.started]
	s.started++
	go func() {
		c, err := s.dialer.openTunnel(ctx, p, s.addr)
		s.results <- peerResult{peer: p, conn: c, err: err}
	}()
}

// record records that a peer provided no tunnel. Whether one that reaches other targets or this target is at
// fault shows only if another peer reaches it.
func (s *tunnelSearch) record(ctx context.Context, r peerResult) {
	kind := fault.KindOf[Kind](r.err)
	s.failures = append(s.failures, string(r.peer.ID)+" "+string(kind))
	if tellingRank[kind] > tellingRank[s.kind] {
		s.kind = kind
	}
	switch {
	case ctx.Err() != nil:
	case kind == Unreachable || kind == Refused:
		s.unable = append(s.unable, r.peer.ID)
	default:
		s.dialer.peerRecord.failed(s.dialer.Clock(), r.peer.ID)
	}
}

// discardRest closes the tunnels that are not used.
func (s *tunnelSearch) discardRest() {
	left := s.started - s.ended
	go func() {
		for range left {
			if r := <-s.results; r.err == nil {
				s.dialer.peerRecord.worked(r.peer.ID, s.dialer.Clock())
				_ = r.conn.Close()
			}
		}
	}()
}

// tellingRank orders the kinds of failures by how much they say of the target: that nothing listens there, or
// that it cannot be reached, rather than that a peer did not try or reaches no target.
var tellingRank = map[Kind]int{NoPeer: 0, Rejected: 1, Unsure: 2, UnsureRefused: 3, Unreachable: 4, Refused: 5}
