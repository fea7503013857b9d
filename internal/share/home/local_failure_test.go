package home_test

import (
	"net"
	"testing"
	"time"

	"valescale/internal/fake/scarce"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// fixedAddrClients returns clients that all connect to one address.
type fixedAddrClients struct {
	clients *peer.Clients
	addr    string
}

func (d fixedAddrClients) Client(ident.Router) (peerpb.PeerServiceClient, error) {
	return d.clients.At(d.addr), nil
}

func (d fixedAddrClients) ReportUnanswered(ident.Router) {}

// A router that cannot open a connection for lack of file descriptors reports that as its own
// failure and not as an unreachable home.
func TestLocalDescriptorShortageIsNotUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	clients, closeClients := peer.NewClients(nil, &peer.Meter{})
	t.Cleanup(closeClients)
	local, _, _ := newHomes()
	remote, closeLinks := home.NewRemote(home.Edge{ID: "router-a"}, local, fixedAddrClients{clients, l.Addr().String()}, time.Second)
	t.Cleanup(closeLinks)
	scarce.ExhaustDescriptors(t)
	req := home.PermitRequest{Shard: id, Request: place.Request{Edge: "router-a", Permit: 1, Key: 7, Work: ident.OneRequest}}
	_, err = remote.Place(t.Context(), "router-b", req, nil)
	if got := fault.KindOf[home.Kind](err); got != home.LocalDelay {
		t.Errorf("got %v, want LocalDelay", err)
	}
}
