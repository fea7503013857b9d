package peer

import (
	"fmt"
	"runtime"
	"testing"

	"connectrpc.com/connect"

	"valescale/internal/share/peerpb"
)

// Pattern: a fleet of 400 routers, each of which calls all others now and then. What a router
// keeps for one that it has called, the connection aside, must not count beside the 0.3 KB of a
// member: with a generated client for each it was 12 KB, 4.8 MB for such a fleet.
func TestClientsOfLargeFleetsAreSmall(t *testing.T) {
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	const routers, most = 400, 256
	kept := make([]peerpb.PeerServiceClient, 0, routers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range routers {
		kept = append(kept, clients.At(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)))
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / uint64(len(kept)); got > most {
		t.Errorf("a router's client takes %d bytes, want %d at most", got, most)
	}
}

// Calls through the shared client reach the router at their own address.
func TestCallsReachTheirAddress(t *testing.T) {
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	one, two := newRouter(t, "one"), newRouter(t, "two")
	for range 3 {
		for name, addr := range map[string]string{"one": one, "two": two} {
			reply, err := clients.At(addr).Gossip(t.Context(), connect.NewRequest(&peerpb.Digest{}))
			if err != nil {
				t.Fatal(err)
			}
			if got := reply.Msg.GetFrom(); got != name {
				t.Errorf("%s answered in place of %s", got, name)
			}
		}
	}
}
