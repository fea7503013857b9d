package peer

import (
	"testing"
	"time"

	"valescale/internal/fake/scarce"
)

// A router that cannot open a connection suspects nobody for it.
func TestOwnLackSuspectsNobody(t *testing.T) {
	addr := newRouter(t, "r")
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	now := time.Now()
	other := Member{ID: "other", Addr: addr, Incarnation: 1, State: Live, Seq: 1}
	view := NewView(now, Member{ID: "self", Incarnation: 1}, DefaultLimits)
	view.setMember(now, other)
	n := NewNode(view, clients, nil, DefaultPace, nil, 1, time.Now)
	scarce.Descriptors(t)
	if err := n.Exchange(t.Context(), other); err == nil {
		t.Fatal("an exchange without descriptors was answered")
	}
	if m, _ := view.Member("other"); m.State != Live {
		t.Errorf("the other router is %v", m.State)
	}
}
