package node

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/share/peer"
)

const (
	// catchUpDelay is how long a later configuration that a peer reports may take to arrive through
	// the tables. It normally does so within half a second, and has to be in force within two.
	catchUpDelay = time.Second
	// maxCatchUpPeers is the maximum number of peers that are then queried for it, one after the
	// other.
	maxCatchUpPeers = 4
)

// laterRevisionReported is called when a peer reports a later configuration than any known one.
func (n *Node) laterRevisionReported(_ ident.Revision, from ident.Router) {
	select {
	case n.aheadPeer <- from:
	default:
		// Another peer is already due to be queried.
	}
}

// catchUp pulls the configuration from peers that have a later one in force than the store shows,
// until the context ends. A router that reached none of them during its start has an older one.
func (n *Node) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-n.aheadPeer:
			pause.Sleep(ctx, catchUpDelay)
			n.pullFromPeers(ctx, from)
		}
	}
}

// pullFromPeers queries peers in turn until this router is no longer behind.
func (n *Node) pullFromPeers(ctx context.Context, from ident.Router) {
	candidates := append([]ident.Router{from}, slices.DeleteFunc(peerRows{n}.Candidates(), func(r ident.Router) bool { return r == from })...)
	for _, id := range candidates[:min(len(candidates), maxCatchUpPeers)] {
		if ctx.Err() != nil || !n.behind() {
			return
		}
		err := n.puller.Step(ctx, id)
		_ = level.Warn(n.Logger).Log("msg", "peer has a later configuration", "router_asked", id,
			"revision", n.state.revision(), "behind", n.behind(), "err", err)
	}
}

// behind reports whether a peer has reported a later configuration than the one in force on this
// router.
func (n *Node) behind() bool {
	var head ident.Revision
	n.peers.Read(func(v *peer.View) { head = v.Head() })
	return n.state.revision() < head
}
