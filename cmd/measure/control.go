package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// Rates and sizes of the traffic that a router causes by itself, at the rates of its settings.
const (
	gossipPerSecond             = 1.0
	listPerSecond               = 1 / 2.0
	headPerSecond               = 1 / 5.0
	reportIntervalSeconds       = 4.0
	changesPerDay               = 5500.0
	secondsPerDay               = 86400.0
	requestsPerSecondToday      = 14.0
	requestsPerSecondInTwoYears = 3000.0
	membersPerDay               = 418.0
	reportBytes                 = 350.0
	unchangedListBytes          = 260.0
	headPollBytes               = 420.0
	changeBytes                 = 700.0
	permitRequestsPerRequest    = 1.02
	publishPerSecond            = 2.0
)

// fleetShape is a fleet whose control traffic is added up.
type fleetShape struct {
	name          string
	routers       int
	regionRouters int
	engines       int
	shards        int
	requests      float64
	changes       float64
}

// control adds up what one router sends and receives besides callers' requests. The cost of a gossip
// exchange is measured on a real connection with digests of the size in that fleet, the cost of a
// permit on a real link. Small calls to the platform have the sizes that occur in the demo.
func control(o options) []row {
	var rows []row
	for _, s := range []fleetShape{
		{"today", 8, 8, 20, 2, requestsPerSecondToday, 10 / secondsPerDay},
		{"in two years", 400, 80, 620, 80, requestsPerSecondInTwoYears / 5, changesPerDay / secondsPerDay},
	} {
		rows = append(rows, s.measure(o.Seed, false)...)
		s.name += ", TLS"
		rows = append(rows, s.measure(o.Seed, true)...)
	}
	return rows
}

func (s fleetShape) measure(seed uint64, secure bool) []row {
	perRouter := s.requests / float64(s.regionRouters)
	digest, _ := gossipSizes(s.routers, seed)
	exchange, exchangeCPU := exchangeCost(digest, secure)
	link := measureLink(s.shards, secure)
	engines := float64(s.engines) / float64(s.regionRouters)
	shards := float64(s.shards) / float64(s.regionRouters)
	parts := []struct {
		name  string
		bytes float64
	}{
		// A router initiates one exchange and, on average, receives one.
		{"gossip", 2 * gossipPerSecond * exchange / 2},
		{"permits", perRouter * permitRequestsPerRequest * link.bytes},
		{"counts to standbys", shards * publishPerSecond * (messageOverhead + 30 + 8*engines/max(shards, 0.01))},
		{"engine reports", engines / reportIntervalSeconds * reportBytes},
		{"list", listPerSecond * unchangedListBytes},
		{"head polls", headPerSecond * headPollBytes},
		{"changes", s.changes * (changeBytes + float64(peer.DefaultPace.Fanout)*exchange)},
	}
	var rows []row
	total := 0.0
	for _, p := range parts {
		total += p.bytes
		rows = append(rows, row{Case: s.name, Strategy: p.name, Routers: s.routers, Engines: s.engines, ControlBytes: p.bytes})
	}
	maxShards := s.maxShardsPerHome()
	rows = append(rows, row{
		Case: s.name, Strategy: "permits at the busiest home", Routers: s.routers, Engines: s.engines,
		// Of the bytes of a permit the home sends the response, about two fifths.
		ControlBytes: perRouter * permitRequestsPerRequest * link.bytes * (3 + 2*float64(maxShards)/max(shards, 0.01)) / 5,
		Note:         fmt.Sprintf("it has %d of %d shards", maxShards, s.shards),
	})
	note := fmt.Sprintf("digest %d bytes, exchange %.0f bytes and %.0f us of processor, permit and its return %.0f bytes and %.0f us, both sides",
		digest, exchange, exchangeCPU, link.bytes, link.micros)
	return append(rows, row{Case: s.name, Strategy: "all", Routers: s.routers, Engines: s.engines, ControlBytes: total, Note: note})
}

// maxShardsPerHome returns the maximum number of shards that one router is home of.
func (s fleetShape) maxShardsPerHome() int {
	var routers []ident.Router
	for i := range s.regionRouters {
		routers = append(routers, ident.Router(fmt.Sprintf("router-%03d", i)))
	}
	var ids []place.ShardID
	for i := range s.shards {
		pool := ident.NewPool(ident.Service("judge-"+strconv.Itoa(i/16)), region)
		ids = append(ids, place.ShardID{Pool: pool, Shard: ident.Shard(i % 16)})
	}
	return place.Assign(ids, routers).MaxShardsPerRouter()
}

// gossipSizes returns the mean and maximum size of the gossip digests of a fleet under normal
// operation.
func gossipSizes(routers int, seed uint64) (mean, largest int) {
	rng := mathrand.New(mathrand.NewPCG(seed, 5))
	now := epoch
	var views []*peer.View
	var list []boxes.Box
	// With room for all members in each digest, the updates of the start spread within a few rounds.
	limits := peer.DefaultLimits
	limits.Members = routers
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
	const rounds, settle = 120, 60
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
				size := proto.Size(peer.Encode(now, d))
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

// echoGossip responds to each digest with the same digest.
type echoGossip struct {
	peerpb.UnimplementedPeerServiceHandler
}

// Gossip returns the received digest.
func (echoGossip) Gossip(_ context.Context, req *connect.Request[peerpb.Digest]) (*connect.Response[peerpb.Digest], error) {
	return connect.NewResponse(req.Msg), nil
}

// serve serves a handler over HTTP/2 on a port chosen by the kernel, in clear text or with TLS, and
// returns a client for it.
func serve(meter *peer.Meter, path string, handler http.Handler, secure bool) (client peerpb.PeerServiceClient, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := &http.Protocols{}
	protocols.SetHTTP2(secure)
	protocols.SetUnencryptedHTTP2(!secure)
	server := &http.Server{Handler: mux, Protocols: protocols}
	var config *tls.Config
	if secure {
		server.TLSConfig = &tls.Config{Certificates: []tls.Certificate{selfSignedCertificate()}}
		config = &tls.Config{InsecureSkipVerify: true}
		go func() { _ = server.ServeTLS(meter.Listener(l), "", "") }()
	} else {
		go func() { _ = server.Serve(meter.Listener(l)) }()
	}
	clients, closeClients := peer.NewClients(config, meter)
	return clients.At(l.Addr().String()), func() {
		closeClients()
		_ = server.Close()
	}
}

// selfSignedCertificate creates a certificate for this run.
func selfSignedCertificate() tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		panic(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	warmUpCalls   = 50
	measuredCalls = 2000
)

// measureCall repeats a call and returns the bytes per call on the connection, including the headers
// of IP and TCP, and the CPU time per call in microseconds, both for client and server together.
func measureCall(meter *peer.Meter, call func(i int)) (bytes, micros float64) {
	for i := range warmUpCalls {
		call(i)
	}
	before, started := meter.Traffic().Total(), cpuTime()
	for i := range measuredCalls {
		call(warmUpCalls + i)
	}
	spent := cpuTime() - started
	return float64(meter.Traffic().Total()-before) / measuredCalls, float64(spent.Microseconds()) / measuredCalls
}

// exchangeCost returns the cost of one exchange of digests of the given size.
func exchangeCost(size int, secure bool) (bytes, micros float64) {
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

// linkCosts is the cost of one permit and its release.
type linkCosts struct {
	bytes  float64
	micros float64
}

// fixedClient returns the same client for every router.
type fixedClient struct{ client peerpb.PeerServiceClient }

// ReportUnanswered does nothing: the server of this run always responds.
func (fixedClient) ReportUnanswered(ident.Router) {}

// Client returns the fixed client.
func (o fixedClient) Client(ident.Router) (peerpb.PeerServiceClient, error) { return o.client, nil }

// linkServer is the part of a router that serves links.
type linkServer struct {
	peerpb.UnimplementedPeerServiceHandler
	*home.Server
}

// Link is served by the home.
func (l linkServer) Link(ctx context.Context, s *connect.BidiStream[peerpb.LinkRequest, peerpb.LinkReply]) error {
	return l.Server.Link(ctx, s)
}

// Sync is served by the home.
func (l linkServer) Sync(ctx context.Context, r *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncReply], error) {
	return l.Server.Sync(ctx, r)
}

// Handoff is served by the home.
func (l linkServer) Handoff(ctx context.Context, r *connect.Request[peerpb.HandoffRequest]) (*connect.Response[peerpb.HandoffReply], error) {
	return l.Server.Handoff(ctx, r)
}

// Grant is served by the home.
func (l linkServer) Grant(ctx context.Context, r *connect.Request[peerpb.GrantRequest]) (*connect.Response[peerpb.GrantReply], error) {
	return l.Server.Grant(ctx, r)
}

// measureLink acquires permits over a real link and releases them in separate messages. Each request
// and response includes the loads of the pool's other shards.
func measureLink(shards int, secure bool) linkCosts {
	shards = min(max(shards, 1), 16)
	meter := &peer.Meter{}
	homes := home.New("router-home", home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
	pool := ident.NewPool(service, region)
	_, engines := homeWith(124, 1)
	homes.SetPool(pool, place.DefaultBound, place.NewRoster(shards, engines))
	path, handler := peerpb.NewPeerServiceHandler(linkServer{Server: home.NewServer(homes, func(context.Context) ident.Router { return "" })})
	client, stop := serve(meter, path, handler, secure)
	defer stop()
	// A process that has run for some time has permit numbers this far above its base.
	const base = uint64(1_764_000_000_000) << 20
	remote, closeRemote := home.NewRemote(home.Edge{ID: "router-edge", Zone: "zone-a", Base: base}, nil, fixedClient{client}, 5*time.Second)
	defer closeRemote()
	id := place.ShardID{Pool: pool}
	var loads []place.ShardLoad
	for i := 1; i < min(shards, 5); i++ {
		loads = append(loads, place.ShardLoad{Shard: ident.Shard(i), Age: 400 * time.Millisecond, Work: 105_000})
	}
	const firstPermit = base + 1_000_000
	var c linkCosts
	c.bytes, c.micros = measureCall(meter, func(i int) {
		permit := firstPermit + uint64(i)
		_, err := remote.Place(context.Background(), "router-home", home.PermitRequest{
			Request: place.Request{
				Edge: "router-edge", Permit: permit, Key: ident.ChatKey(ident.Mix(uint64(i), 2)), Work: ident.OneRequest, Zone: "zone-a",
			},
			Shard: id, Workspace: "workspace-17", Weight: 1, Priority: 5, ShardLoads: loads,
		}, nil)
		if err != nil {
			panic(err)
		}
		_ = remote.Release(context.Background(), "router-home", id, []uint64{permit})
	})
	return c
}
