package main

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

const (
	// gossipRounds is the number of simulated rounds of gossip, one per second, and settlingRounds how
	// many of them spread the updates of the start and are not measured.
	gossipRounds   = 120
	settlingRounds = 60
	// roundsPerChange is the number of rounds between two changes of the configuration.
	roundsPerChange = 16
)

// meanDigestSize returns the mean size of the gossip digests of a fleet under normal operation, in
// bytes.
func meanDigestSize(routers int, seed uint64) int {
	rng := mathrand.New(mathrand.NewPCG(seed, 5))
	now := epoch
	views := fleetViews(now, routers)
	sum, count := 0, 0
	revision := ident.Revision(1)
	for round := range gossipRounds {
		now = now.Add(time.Second)
		if round%roundsPerChange == 0 {
			revision++
			views[rng.IntN(routers)].SetRevision(revision)
		}
		for a, v := range views {
			v.Tick(now)
			v.SetRevision(v.Head())
			b := rng.IntN(routers)
			if b == a {
				continue
			}
			size := sendDigest(now, v, views[b]) + sendDigest(now, views[b], v)
			if round >= settlingRounds {
				sum += size
				count += 2
			}
		}
	}
	return sum / max(count, 1)
}

// fleetViews returns the membership views of the routers of a fleet, which all have the list of
// routers.
func fleetViews(now time.Time, routers int) []*peer.View {
	// With room for all members in each digest, the updates of the start spread within a few rounds.
	limits := peer.DefaultLimits
	limits.Members = routers
	var views []*peer.View
	var list []boxes.Box
	for i := range routers {
		m := peer.Member{
			ID: ident.Router(fmt.Sprintf("router-%03d", i)), Addr: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			Zone: ident.Zone(fmt.Sprint("zone-", i%11)), Region: ident.Region(fmt.Sprint("region-", i%5)), Incarnation: 1,
		}
		views = append(views, peer.NewView(now, m, limits))
		list = append(list, boxes.Box{ID: string(m.ID), Role: boxes.RouterRole, Addr: m.Addr, Region: m.Region, State: boxes.Live})
	}
	for _, v := range views {
		v.ObserveList(now, list)
	}
	return views
}

// sendDigest passes a digest from one view to another and returns its encoded size in bytes.
func sendDigest(now time.Time, from, to *peer.View) int {
	d := from.Outgoing(to.Self().ID, false)
	size := proto.Size(peer.Encode(now, d))
	to.Incoming(now, d)
	return size
}

// echoGossip responds to each digest with the same digest.
type echoGossip struct {
	peerpb.UnimplementedPeerServiceHandler
}

// Gossip returns the received digest.
func (echoGossip) Gossip(_ context.Context, req *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	return connect.NewResponse(req.Msg), nil
}

// measureExchange measures one exchange of digests of the given size.
func measureExchange(size int, secure bool) callCost {
	meter := &peer.Meter{}
	path, handler := peerpb.NewPeerServiceHandler(echoGossip{})
	client, stop := serve(meter, path, handler, secure)
	defer stop()
	message := &peerpb.Digest{From: "router-000", InForce: make([]byte, max(size-12, 0))}
	return measureCall(meter, func(int) {
		if _, err := client.Gossip(context.Background(), connect.NewRequest(message)); err != nil {
			panic(err)
		}
	})
}
