package peer

import (
	"testing"
	"time"

	"valescale/internal/fake/scarce"
)

// A router that cannot open a connection for lack of file descriptors does not suspect its peer.
func TestDescriptorExhaustionSuspectsNoPeer(t *testing.T) {
	addr := newRouter(t, "r")
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	now := time.Now()
	other := Member{ID: "other", Addr: addr, Incarnation: 1, State: Live, Seq: 1}
	view := NewView(now, Member{ID: "self", Incarnation: 1}, DefaultLimits)
	view.setMember(now, other)
	n := NewNode(view, clients, nil, DefaultPace, nil, 1, time.Now)
	scarce.ExhaustDescriptors(t)
	if err := n.Exchange(t.Context(), other); err == nil {
		t.Fatal("exchange succeeded without file descriptors")
	}
	if m, _ := view.Member("other"); m.State != Live {
		t.Errorf("state of the peer: got %v, want live", m.State)
	}
}
