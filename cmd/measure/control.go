package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// Rates of what a router does without being asked, as its settings have them.
const (
	gossipPerSecond  = 1.0
	listPerSecond    = 1 / 2.0
	headPerSecond    = 1 / 5.0
	reportEvery      = 2.0
	changesPerDay    = 5500.0
	secondsPerDay    = 86400.0
	requestsNow      = 14.0
	requestsInTwo    = 3000.0
	membersPerDay    = 418.0
	reportBytes      = 350.0
	unchangedList    = 260.0
	headPollBytes    = 420.0
	changeBytes      = 700.0
	releaseBytes     = 30.0
	answerBytes      = 50.0
	requestBytes     = 80.0
	asksPerRequest   = 1.02
	publishPerSecond = 2.0
)

// controlShape is one fleet whose control traffic is added up.
type controlShape struct {
	name     string
	routers  int
	inRegion int
	engines  int
	shards   int
	requests float64
	changes  float64
}

// control adds up what one router sends and receives beside callers' requests. What
// a gossip exchange costs is measured on a connection of this run, with the digests
// of a fleet of that size; messages of links are counted by their wire form in the
// skew measure; small calls to the platform have the sizes that the demo shows.
func control(o options) []row {
	var rows []row
	for _, s := range []controlShape{
		{"today", 8, 8, 20, 2, requestsNow, 10 / secondsPerDay},
		{"in two years", 400, 80, 620, 80, requestsInTwo / 5, changesPerDay / secondsPerDay},
	} {
		rows = append(rows, s.measure(o.Seed)...)
	}
	return rows
}

func (s controlShape) measure(seed uint64) []row {
	perRouter := s.requests / float64(s.inRegion)
	digest, _ := gossipSizes(s.routers, seed)
	exchange := exchangeBytes(digest)
	engines := float64(s.engines) / float64(s.inRegion)
	shards := float64(s.shards) / float64(s.inRegion)
	parts := []struct {
		name  string
		bytes float64
	}{
		// Each exchange is one call out and, on average, one call in.
		{"gossip", 2 * gossipPerSecond * exchange / 2},
		{"permits", perRouter * (asksPerRequest*(requestBytes+answerBytes+2*messageOverhead) + releaseBytes + messageOverhead)},
		{"counts to standbys", shards * publishPerSecond * (messageOverhead + 30 + 8*engines/max(shards, 0.01))},
		{"engine reports", engines / reportEvery * reportBytes},
		{"list", listPerSecond * unchangedList},
		{"head polls", headPerSecond * headPollBytes},
		{"changes", s.changes * (changeBytes + float64(peer.DefaultPace.Fanout)*exchange)},
	}
	var rows []row
	total := 0.0
	for _, p := range parts {
		total += p.bytes
		rows = append(rows, row{Case: s.name, Way: p.name, Routers: s.routers, Engines: s.engines, ControlBytes: p.bytes})
	}
	note := fmt.Sprintf("a digest of %d bytes, an exchange of %.0f on its connection", digest, exchange)
	return append(rows, row{Case: s.name, Way: "all", Routers: s.routers, Engines: s.engines, ControlBytes: total, Note: note})
}

// gossipSizes returns the mean and largest digest of a fleet with ordinary news.
func gossipSizes(routers int, seed uint64) (mean, largest int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	now := epoch
	var views []*peer.View
	var list []boxes.Box
	for i := range routers {
		m := peer.Member{
			ID: ident.Router(fmt.Sprintf("router-%03d", i)), Addr: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			Zone: ident.Zone(fmt.Sprint("zone-", i%11)), Region: ident.Region(fmt.Sprint("region-", i%5)), Incarnation: 1,
		}
		views = append(views, peer.NewView(now, m, peer.DefaultLimits))
		list = append(list, boxes.Box{ID: string(m.ID), Role: boxes.RouterRole, Addr: m.Addr, Region: m.Region, State: boxes.Live})
	}
	for _, v := range views {
		v.ObserveList(now, list)
	}
	const rounds, settle = 240, 60
	sum, n := 0, 0
	revision := ident.Revision(1)
	for round := range rounds {
		now = now.Add(time.Second)
		if round%16 == 0 {
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
			for _, pair := range [2][2]int{{a, b}, {b, a}} {
				d := views[pair[0]].Outgoing(views[pair[1]].Self().ID, false)
				size := proto.Size(peer.Encode(d))
				views[pair[1]].Incoming(now, d)
				if round >= settle {
					sum += size
					n++
					largest = max(largest, size)
				}
			}
		}
	}
	return sum / max(n, 1), largest
}

// echoGossip answers each digest with one as large.
type echoGossip struct {
	peerpb.UnimplementedPeerServiceHandler
}

// Gossip returns what it got.
func (echoGossip) Gossip(_ context.Context, req *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	return connect.NewResponse(req.Msg), nil
}

// exchangeBytes is what one exchange of digests of a size costs, both ways and with
// the headers of IP and TCP, counted on a connection.
func exchangeBytes(size int) float64 {
	meter := &peer.Meter{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewPeerServiceHandler(echoGossip{}))
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(meter.Listener(l)) }()
	defer server.Close()
	clients, closeClients := peer.NewClients(nil, meter)
	defer closeClients()
	client := clients.At(l.Addr().String())
	message := &peerpb.Digest{From: "router-000", InForce: make([]byte, max(size-12, 0))}
	const warm, calls = 10, 200
	before := uint64(0)
	for i := range warm + calls {
		if i == warm {
			before = meter.Traffic().Total()
		}
		if _, err := client.Gossip(context.Background(), connect.NewRequest(message)); err != nil {
			return 0
		}
	}
	return float64(meter.Traffic().Total()-before) / calls
}
