package node

import (
	"math/rand/v2"
	"net"
	"slices"

	"valescale/internal/edge/reach"
	"valescale/internal/edge/relay"
	"valescale/internal/share/peer"
)

// buildDialer creates the parts that connect to targets, for this router and for its peers.
func (n *Node) buildDialer() {
	direct := net.Dialer{KeepAlive: -1, Control: fixBuffers}
	if source := n.settings.Load().SourceIP; source != nil {
		direct.LocalAddr = &net.TCPAddr{IP: source}
	}
	dialer, closeDialer := reach.New(reach.Parts{
		Timeout: relay.DefaultConnLimits.Dial, Direct: direct.DialContext, Peers: n.tunnelPeers, Targets: n.targetAddrs,
		Changed: n.pathsChanged, Regained: n.targetRegained, Logger: n.Logger, Clock: n.Clock,
	})
	n.cleanups = append(n.cleanups, closeDialer)
	n.dialer = dialer
	n.tunnels = reach.NewServer(reach.ServerParts{
		Dialer: dialer, IsRouter: n.isRouterHost, IsTarget: n.isTargetAddr, Accepting: n.acceptsTunnels, Memory: n.memory,
	})
}

// tunnelPeers returns the live routers of this region, in random order: by turns one of this availability zone
// and one of another, because all of a zone may be cut off from the targets.
func (n *Node) tunnelPeers() []reach.Peer {
	var near, far []reach.Peer
	n.peers.Read(func(v *peer.View) {
		for m := range v.All() {
			switch {
			case m.ID == n.self.ID || m.State != peer.Live || m.Region != n.self.Region:
			case m.Zone == n.self.Zone:
				near = append(near, reach.Peer{ID: m.ID, Addr: m.Addr})
			default:
				far = append(far, reach.Peer{ID: m.ID, Addr: m.Addr})
			}
		}
	})
	for _, list := range [][]reach.Peer{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return alternate(near, far)
}

// alternate returns the elements of two lists by turns, and then the rest of the longer one.
func alternate(a, b []reach.Peer) []reach.Peer {
	out := make([]reach.Peer, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		out = append(out, a[min(i, len(a)):min(i+1, len(a))]...)
		out = append(out, b[min(i, len(b)):min(i+1, len(b))]...)
	}
	return out
}

// targetAddrs returns the addresses of all targets that accept new work.
func (n *Node) targetAddrs() []string {
	var out []string
	for _, p := range n.mesh.Set().Pools {
		for _, e := range p.Roster.Engines() {
			if !e.Leaving {
				out = append(out, e.Addr)
			}
		}
	}
	return out
}

// isTargetAddr reports whether a target that accepts new work has an address.
func (n *Node) isTargetAddr(addr string) bool { return slices.Contains(n.targetAddrs(), addr) }

// isRouterHost reports whether a connection comes from the box of a known router.
func (n *Node) isRouterHost(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	known := false
	n.peers.Read(func(v *peer.View) {
		for m := range v.All() {
			memberHost, _, err := net.SplitHostPort(m.Addr)
			known = known || err == nil && memberHost == host
		}
	})
	return known
}

// acceptsTunnels reports whether this router provides tunnels to peers now.
func (n *Node) acceptsTunnels() bool {
	return n.ready.Load() && !n.draining.Load() && !n.gate.Overloaded()
}

// pathsChanged is called after this router is cut off from the targets, or is not any more. Failures
// that were recorded before show nothing of the targets.
func (n *Node) pathsChanged(cutOff bool) {
	if cutOff {
		n.router.ForgetFailures()
	}
}

// targetRegained is called after this router has connected to a target that nobody reached before.
func (n *Node) targetRegained(addr string) {
	for _, p := range n.mesh.Set().Pools {
		for _, e := range p.Roster.Engines() {
			if e.Addr == addr {
				n.router.ReportReachable(e.Hash)
			}
		}
	}
}
