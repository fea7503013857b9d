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
	// aheadWait is how long a later configuration that another router tells of may take to come the usual way:
	// it does within half a second, and must be in force within two.
	catchUpDelay = time.Second
	// aheadAsked is how many routers are asked for it then, one after the other.
	maxCatchUpPeers = 4
)

// heardRevision follows a router's word of a later configuration than any known.
func (n *Node) laterRevisionReported(_ ident.Revision, from ident.Router) {
	select {
	case n.aheadPeer <- from:
	default:
		// Another one is to be asked already.
	}
}

// catchUp takes a configuration from routers that have a later one in force than the store shows, until the
// context ends. A router that started while it reached none of them has an older one.
func (n *Node) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-n.aheadPeer:
			pause.For(ctx, catchUpDelay)
			n.pullFromPeers(ctx, from)
		}
	}
}

// askAhead asks routers in turn until this one is not behind.
func (n *Node) pullFromPeers(ctx context.Context, from ident.Router) {
	candidates := append([]ident.Router{from}, slices.DeleteFunc(peerRows{n}.Others(), func(r ident.Router) bool { return r == from })...)
	for _, id := range candidates[:min(len(candidates), maxCatchUpPeers)] {
		if ctx.Err() != nil || !n.behind() {
			return
		}
		err := n.puller.Step(ctx, id)
		_ = level.Warn(n.Logger).Log("msg", "another router has a later configuration", "router_asked", id,
			"revision", n.state.revision(), "behind", n.behind(), "err", err)
	}
}

// behind reports whether another router has told of a later configuration than the one in force here.
func (n *Node) behind() bool {
	var head ident.Revision
	n.peers.Read(func(v *peer.View) { head = v.Head() })
	return n.state.revision() < head
}
