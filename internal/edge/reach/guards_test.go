package reach

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
)

// Guards against peers that are asked first each time although they have just rejected a tunnel, or have not
// answered.
func TestPeersThatRejectOrDoNotAnswerAreRecorded(t *testing.T) {
	f := newFleet(t, 3, 1)
	r := f.routers[0]
	r.cutFrom(f.targets, false)
	f.routers[1].accepting = false
	f.routers[2].addr = "127.0.0.1:1"
	r.connects(f.targets[0])
	for _, p := range r.peers() {
		if !r.dialer.peerRecord.noneHelps([]Peer{p}, time.Now()) {
			t.Errorf("the failure of peer %s is not recorded", p.ID)
		}
	}
}

// Guards against a lost path that is back and not used while no peer provides a tunnel.
func TestLostPathIsTriedWithoutTunnels(t *testing.T) {
	f := newFleet(t, 2, 1)
	r := f.routers[0]
	r.cutFrom(f.targets, false)
	r.connects(f.targets[0])
	f.mu.Lock()
	f.routers[1].accepting = false
	f.mu.Unlock()
	r.cutFrom(nil, false)
	r.dialer.paths.lost(f.targets[0], time.Now())
	connected, tunneled := r.connects(f.targets[0])
	if diff := cmp.Diff([]bool{true, false}, []bool{connected, tunneled}); diff != "" {
		t.Errorf("connected, through a peer: %s", diff)
	}
}

// Guards against a router that provides more tunnels than its descriptors bear.
func TestTunnelsAreLimited(t *testing.T) {
	f := newFleet(t, 2, 1)
	peer := f.routers[1]
	open := func() Kind {
		c, err := f.routers[0].dialer.openTunnel(t.Context(), Peer{ID: peer.id, Addr: peer.addr}, f.targets[0])
		if err == nil {
			_ = c.Close()
		}
		return fault.KindOf[Kind](err)
	}
	got := []Kind{open()}
	var held []net.Conn
	for range maxTunnels {
		c, other := net.Pipe()
		held = append(held, c, other)
		peer.server.add(c)
	}
	got = append(got, open())
	for _, c := range held {
		peer.server.remove(c)
		_ = c.Close()
	}
	if diff := cmp.Diff([]Kind{"", Rejected}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests for tunnels that multiply while a whole fleet is cut off: a peer that finds out whether
// it reaches targets asks no other peers.
func TestUnsurePeersAskNoOthers(t *testing.T) {
	f := newFleet(t, 6, 6)
	for _, r := range f.routers {
		r.cutFrom(f.targets, false)
	}
	asked := f.routers[1]
	c, err := f.routers[0].dialer.openTunnel(t.Context(), Peer{ID: asked.id, Addr: asked.addr}, f.targets[0])
	if err == nil {
		_ = c.Close()
		t.Fatal("a peer that is cut off provided a tunnel")
	}
	eventually(t, "the peer has tried other targets", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return asked.dials > 1
	})
	<-time.After(2 * testTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r != asked && r.tunnels > 0 {
			t.Errorf("router %s received %d requests for tunnels", r.id, r.tunnels)
		}
	}
}

// Guards against requests that each wait for several targets while nobody reaches any: by the time the next request
// comes, the first of these targets must still be recorded.
func TestDownTargetsAreRecordedUntilTheNextRequest(t *testing.T) {
	const targets = 5
	f := newFleet(t, 2, targets)
	for _, r := range f.routers {
		r.cutFrom(f.targets, true)
	}
	var took [2]time.Duration
	for i := range took {
		began := time.Now()
		for _, addr := range f.targets {
			f.routers[0].connects(addr)
		}
		took[i] = time.Since(began)
	}
	if took[1] > testTimeout {
		t.Errorf("the second request waited for %s, the first for %s", took[1], took[0])
	}
}

// Guards against tunnels that a box has no memory for, and against memory that is not returned when a tunnel ends.
func TestTunnelsAreLimitedByMemory(t *testing.T) {
	f := newFleet(t, 2, 1)
	peer := f.routers[1]
	open := func() (net.Conn, Kind) {
		c, err := f.routers[0].dialer.openTunnel(t.Context(), Peer{ID: peer.id, Addr: peer.addr}, f.targets[0])
		return c, fault.KindOf[Kind](err)
	}
	peer.server.Memory.SetLimit(2 * tunnelSize)
	c, kind := open()
	if kind != "" {
		t.Fatalf("no tunnel with memory for one: %s", kind)
	}
	if _, kind := open(); kind != Rejected {
		t.Errorf("without memory: %q, want %q", kind, Rejected)
	}
	_ = c.Close()
	eventually(t, "the memory is returned", func() bool { return peer.server.Memory.Usage().Used == 0 })
}
