package peer

import (
	"fmt"
	"runtime"
	"testing"

	"connectrpc.com/connect"

	"valescale/internal/share/peerpb"
)

// Guards against a large memory footprint per peer. In a fleet of 400 routers each router calls all
// others from time to time. The memory of the client of one router, its connection aside, must be
// small compared with the 0.3 KB of a member: a generated client for each takes 12 KB, 4.8 MB
// for such a fleet.
func TestClientMemory(t *testing.T) {
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	const routers, limit = 400, 256
	retained := make([]peerpb.PeerServiceClient, 0, routers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range routers {
		retained = append(retained, clients.At(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)))
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / uint64(len(retained)); got > limit {
		t.Errorf("client of a router takes %d bytes, want at most %d", got, limit)
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
				t.Errorf("response of %s to a call to %s", got, name)
			}
		}
	}
}
