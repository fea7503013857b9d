package main

import (
	"fmt"
	"strconv"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peer"
)

// Rates of the traffic that a router causes by itself, with the default settings.
const (
	gossipPerSecond          = 1.0
	listPerSecond            = 1 / 2.0
	headPerSecond            = 1 / 5.0
	reportIntervalSeconds    = 4.0
	publishPerSecond         = 2.0
	permitRequestsPerRequest = 1.02
)

// Sizes of small calls in bytes, as they occur in the demo.
const (
	reportBytes        = 350.0
	unchangedListBytes = 260.0
	headPollBytes      = 420.0
	changeBytes        = 700.0
	// loadsBytes and engineLoadBytes are the sizes of a published shard and of each of its engines.
	loadsBytes      = 30
	engineLoadBytes = 8
)

const (
	secondsPerDay = 86400.0
	// minShards is the lowest number of shards per router in a quotient, against division by zero.
	minShards = 0.01
)

// fleetShape is a fleet whose control traffic is added up. The engines, shards and requests are those
// of one region.
type fleetShape struct {
	name          string
	routers       int
	regionRouters int
	engines       int
	shards        int
	// requests and changes of the configuration are rates per second.
	requests float64
	changes  float64
}

// controlFleets are the fleet of one user at present, and that of all users in five regions in two years.
var controlFleets = []fleetShape{
	{name: "today", routers: 8, regionRouters: 8, engines: 20, shards: 2, requests: 14, changes: 10 / secondsPerDay},
	{name: "in two years", routers: 400, regionRouters: 80, engines: 620, shards: 80, requests: 3000.0 / 5, changes: 5500 / secondsPerDay},
}

// control adds up what one router sends and receives besides callers' requests. The cost of a gossip
// exchange is measured on a real connection with digests of the size in that fleet, the cost of a
// permit on a real link. Small calls to the platform have the sizes that occur in the demo. The origins
// of streams are counted apart, since they are sent only while a service has several versions.
func control(o options) []row {
	var rows []row
	for _, s := range controlFleets {
		rows = append(rows, s.measure(o.Seed, false)...)
		s.name += ", TLS"
		rows = append(rows, s.measure(o.Seed, true)...)
	}
	return append(rows, origins()...)
}

// measure returns a row for each part of a router's traffic, for the home with the most shards, and
// for all parts together.
func (s fleetShape) measure(seed uint64, secure bool) []row {
	digest := meanDigestSize(s.routers, seed)
	exchange := measureExchange(digest, secure)
	link := measureLink(s.shards, secure)
	var rows []row
	total := 0.0
	for _, p := range s.traffic(exchange.bytes, link.bytes) {
		total += p.bytesPerSecond
		rows = append(rows, s.row(p.name, p.bytesPerSecond, ""))
	}
	maxShards := s.maxShardsPerHome()
	rows = append(rows, s.row("permits at the busiest home", s.busiestHomeTraffic(maxShards, link.bytes),
		fmt.Sprintf("it has %d of %d shards", maxShards, s.shards)))
	note := fmt.Sprintf("digest %d bytes, exchange %.0f bytes and %.0f us of processor, permit and its return %.0f bytes and %.0f us, both sides",
		digest, exchange.bytes, exchange.micros, link.bytes, link.micros)
	return append(rows, s.row("all", total, note))
}

// row returns a row about a part of the traffic.
func (s fleetShape) row(part string, bytesPerSecond float64, note string) row {
	return row{Case: s.name, Strategy: part, Routers: s.routers, Engines: s.engines, ControlBytes: bytesPerSecond, Note: note}
}

// trafficPart is one part of a router's traffic.
type trafficPart struct {
	name           string
	bytesPerSecond float64
}

// traffic returns the parts of a router's traffic, given the bytes of a gossip exchange and of a
// permit with its release.
func (s fleetShape) traffic(exchangeBytes, linkBytes float64) []trafficPart {
	engines := float64(s.engines) / float64(s.regionRouters)
	shards := s.shardsPerRouter()
	return []trafficPart{
		// A router initiates one exchange and, on average, receives one.
		{"gossip", 2 * gossipPerSecond * exchangeBytes / 2},
		{"permits", s.permitTraffic(linkBytes)},
		{"counts to standbys", shards * publishPerSecond * (messageOverhead + loadsBytes + engineLoadBytes*engines/max(shards, minShards))},
		{"engine reports", engines / reportIntervalSeconds * reportBytes},
		{"list", listPerSecond * unchangedListBytes},
		{"head polls", headPerSecond * headPollBytes},
		{"changes", s.changes * (changeBytes + float64(peer.DefaultPace.Fanout)*exchangeBytes)},
	}
}

// shardsPerRouter returns the mean number of shards that a router is home of.
func (s fleetShape) shardsPerRouter() float64 { return float64(s.shards) / float64(s.regionRouters) }

// permitTraffic returns the bytes per second of the permits that a router requests.
func (s fleetShape) permitTraffic(linkBytes float64) float64 {
	return s.requests / float64(s.regionRouters) * permitRequestsPerRequest * linkBytes
}

// busiestHomeTraffic returns the bytes per second of the permits that a router with the most shards
// requests and grants. Of the bytes of a permit the home sends the response, about two fifths.
func (s fleetShape) busiestHomeTraffic(maxShards int, linkBytes float64) float64 {
	return s.permitTraffic(linkBytes) * (3 + 2*float64(maxShards)/max(s.shardsPerRouter(), minShards)) / 5
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
