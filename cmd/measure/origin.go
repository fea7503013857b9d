package main

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	rows "valescale/internal/plat/table"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// originsCase is the case of the rows about origins of streams.
const originsCase = "origins"

const (
	// maxOrigins is the number of origins that a router holds at most.
	maxOrigins = 1 << 16
	// originBatch is the number of origins in the messages that follow the arrival of a second version.
	originBatch = 256
	// keepersOfOrigin is the number of routers to which an origin is sent.
	keepersOfOrigin = 3
	// askedOfRegion is the number of routers of a region that are asked for an origin, and up to as many more as
	// it has keepers.
	askedOfRegion = 5
	// streamsPerSecond is the number of streams that begin at a router in a second: all requests of a router
	// at the page's target size.
	streamsPerSecond = 3000.0 / 400
	// resumedShare is the assumed share of streams that their caller resumes at a router without the origin.
	resumedShare = 0.02
	// measuredLinks is the number of links whose memory is measured.
	measuredLinks = 100
)

// originFleet is a fleet whose traffic of origins is added up.
type originFleet struct {
	routers int
	regions int
}

// originFleets are the sizes of the documentation, and the target size of five regions.
var originFleets = []originFleet{{8, 1}, {80, 1}, {300, 1}, {986, 1}, {400, 5}}

// originCosts are the costs of single messages, for both routers together.
type originCosts struct {
	// alone is one published origin, batched one in a message of originBatch, and find one call of FindOrigin.
	alone   callCost
	batched callCost
	find    callCost
}

// origins measures what origins of streams cost, and adds it up for each fleet.
func origins() []row {
	var rows []row
	for _, secure := range []bool{false, true} {
		costs := measureOrigins(secure)
		suffix := ""
		if secure {
			suffix = ", TLS"
		}
		rows = append(rows, originsRow("one message"+suffix, 0, 0, costs.note()))
		for _, f := range originFleets {
			rows = append(rows, f.rows(costs, suffix)...)
		}
	}
	return append(rows, originsRow("memory", 0, 0, originMemory()))
}

func originsRow(part string, routers int, bytesPerSecond float64, note string) row {
	return row{Case: originsCase, Strategy: part, Routers: routers, ControlBytes: bytesPerSecond, Note: note}
}

func (c originCosts) note() string {
	return fmt.Sprintf("origin alone %.0f bytes and %.0f us, in a batch of %d %.1f bytes and %.2f us, FindOrigin %.0f bytes and %.0f us, both sides",
		c.alone.bytes, c.alone.micros, originBatch, c.batched.bytes, c.batched.micros, c.find.bytes, c.find.micros)
}

// rows returns the traffic of a router while a service has several versions, and while it has one. Each
// byte is counted at its sender, and the processor time of a message at both of its routers, which on
// average is that of one router.
func (f originFleet) rows(costs originCosts, suffix string) []row {
	published := streamsPerSecond * keepersOfOrigin
	asked := streamsPerSecond * resumedShare * float64(f.regions*askedOfRegion)
	findBytes, findMicros := asked*costs.find.bytes, asked*costs.find.micros
	several, single := f.measureBegan(2), f.measureBegan(1)
	unknown := f.measureFind()
	return []row{
		originsRow("several versions"+suffix, f.routers, published*costs.alone.bytes+findBytes, fmt.Sprintf(
			"%.1f origins and %.2f questions/s, %.0f us/s: messages %.0f, %.2f us to begin a stream, %.0f us to find the routers to ask; %d keepers",
			published, asked, published*costs.alone.micros+findMicros+streamsPerSecond*(several.micros+resumedShare*unknown),
			published*costs.alone.micros+findMicros, several.micros, unknown, several.keepers)),
		originsRow("one version"+suffix, f.routers, findBytes, fmt.Sprintf(
			"%.2f questions/s, %.0f us/s: messages %.0f, %.2f us to begin a stream, %.0f us to find the routers to ask",
			asked, findMicros+streamsPerSecond*(single.micros+resumedShare*unknown), findMicros, single.micros, unknown)),
	}
}

// measureOrigins measures messages about origins over a real connection.
func measureOrigins(secure bool) originCosts {
	meter := &peer.Meter{}
	keeper := newOrigins(discardedOrigins{}, func() []origin.Router { return nil })
	merged := &mergedOrigins{Origins: keeper, done: make(chan struct{}, 1)}
	path, handler := peerpb.NewPeerServiceHandler(linkServer{Server: home.NewServer(emptyHomes(), merged, func(context.Context) ident.Router { return "" })})
	client, stop := serve(meter, path, handler, secure)
	defer stop()
	remote, closeRemote := home.NewRemote(home.Edge{ID: "router-edge", Zone: "zone-a"}, nil, fixedClient{client}, 5*time.Second)
	defer closeRemote()
	publish := func(first, count int) {
		remote.PublishOrigins("router-home", originRecords(first, count))
		<-merged.done
	}
	alone := measureCall(meter, func(i int) { publish(i, 1) })
	batch := measureCall(meter, func(i int) { publish(i*originBatch, originBatch) })
	find := measureCall(meter, func(i int) {
		if _, err := remote.FindOrigin(context.Background(), "router-home", originRecord(i).Key, service); err != nil {
			panic(err)
		}
	})
	return originCosts{alone: alone, batched: callCost{bytes: batch.bytes / originBatch, micros: batch.micros / originBatch}, find: find}
}

// mergedOrigins reports the arrival of each message.
type mergedOrigins struct {
	*origin.Origins
	done chan struct{}
}

// Merge implements home.Origins.
func (m *mergedOrigins) Merge(records []origin.Record) {
	m.Origins.Merge(records)
	m.done <- struct{}{}
}

// discardedOrigins receives origins without sending them.
type discardedOrigins struct{}

// PublishOrigins does nothing.
func (discardedOrigins) PublishOrigins(ident.Router, []origin.Record) {}

// PublishExpected does nothing.
func (discardedOrigins) PublishExpected(ident.Router, origin.Record) {}

// FindOrigin knows no origin.
func (discardedOrigins) FindOrigin(context.Context, ident.Router, origin.Key, ident.Service) (origin.Answer, error) {
	return origin.Answer{}, nil
}

// countedKeepers counts the routers that receive origins.
type countedKeepers struct {
	discardedOrigins
	routers map[ident.Router]bool
}

// PublishOrigins implements origin.Peers.
func (c countedKeepers) PublishOrigins(to ident.Router, _ []origin.Record) { c.routers[to] = true }

// emptyHomes returns homes without any pool.
func emptyHomes() *home.Homes {
	return home.New("router-home", home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) {
		return policy.Workspace{}, false
	})
}

func newOrigins(peers origin.Peers, routers func() []origin.Router) *origin.Origins {
	return origin.New(origin.Parts{
		Self: "router-000", Region: "region-0", Peers: peers, Routers: routers, RoutersVersion: func() uint64 { return 1 }, AnyDead: func() bool { return false }, RowsCurrent: func() bool { return true },
		WokeAt: func() time.Time { return time.Time{} }, Store: emptyStore{}, Role: func() origin.Role { return origin.OnlyReads },
		Logger: log.NewNopLogger(), Clock: func() time.Time { return epoch },
	})
}

// emptyStore is a store without rows that keeps nothing.
type emptyStore struct{}

// All implements origin.Store.
func (emptyStore) All(context.Context, rows.Name) (rows.Page, error) { return rows.Page{}, nil }

// Range implements origin.Store.
func (emptyStore) Range(context.Context, rows.Name, rows.Key, rows.Key) (rows.Page, error) {
	return rows.Page{}, nil
}

// Commit implements origin.Store.
func (emptyStore) Commit(context.Context, rows.Txn) error { return nil }

// originRecord returns a record with a name of its own, as records from a message have.
func originRecord(i int) origin.Record {
	return origin.Record{
		Key:    origin.NewKey("workspace-17", fmt.Sprintf("%016x", i)),
		Origin: origin.Origin{Service: ident.Service(strings.Clone(string(service))), Version: ident.Version(strings.Clone("v1.2"))},
	}
}

func originRecords(first, count int) []origin.Record {
	var out []origin.Record
	for i := range count {
		out = append(out, originRecord(first+i))
	}
	return out
}

// newOrigins returns the origins of a router of the fleet, which reads the list of routers from its
// membership view. The service has the given number of versions.
func (f originFleet) newOrigins(peers origin.Peers, versions int) *origin.Origins {
	var list []boxes.Box
	for i := range f.routers {
		list = append(list, boxes.Box{
			ID: fmt.Sprintf("router-%03d", i), Role: boxes.RouterRole, Addr: "10.0.0.1:8081", State: boxes.Live,
			Zone: ident.Zone(fmt.Sprint("zone-", i%11)), Region: ident.Region(fmt.Sprint("region-", i%f.regions)),
		})
	}
	view := peer.NewView(epoch, peer.Member{ID: "router-000", Region: "region-0", Zone: "zone-0"}, peer.DefaultLimits)
	view.ObserveList(epoch, list)
	o := newOrigins(peers, func() []origin.Router {
		var out []origin.Router
		for m := range view.All() {
			out = append(out, origin.Router{ID: m.ID, Zone: m.Zone, Region: m.Region, Accepts: true})
		}
		return out
	})
	for i := range versions {
		o.TargetAdded(origin.Origin{Service: service, Version: ident.Version(fmt.Sprint("v", i))})
	}
	return o
}

// beganCost is the cost of the record of one stream, without its messages.
type beganCost struct {
	micros float64
	// keepers is the number of different routers that have received origins.
	keepers int
}

func (f originFleet) measureBegan(versions int) beganCost {
	const streams = 2000
	peers := countedKeepers{routers: map[ident.Router]bool{}}
	o := f.newOrigins(peers, versions)
	records := originRecords(0, streams)
	micros := meanMicros(streams, func(i int) { o.Began(records[i]) })
	return beganCost{micros: micros, keepers: len(peers.routers)}
}

// measureFind returns the time of a search for an unknown origin in microseconds, without its messages.
func (f originFleet) measureFind() float64 {
	o := f.newOrigins(discardedOrigins{}, 1)
	return meanMicros(1000, func(i int) { o.Find(context.Background(), origin.Key(i+1), service) })
}

// originMemory describes the memory of a full table and of the links to keepers.
func originMemory() string {
	waitForHeap()
	kept, table := measureMemory(func() *origin.Origins {
		o := newOrigins(discardedOrigins{}, nil)
		for i := range 2 * maxOrigins {
			o.Merge([]origin.Record{originRecord(i)})
		}
		return o
	})
	runtime.KeepAlive(kept)
	return fmt.Sprintf("table of %d origins %.0f bytes, link %.0f bytes, both sides", maxOrigins, table, linkMemory())
}

const (
	// heapTolerance is the change of the heap, in bytes, below which it is taken as steady.
	heapTolerance = 16 << 10
	// heapPause is the time between two readings, and maxHeapReadings the maximum number of readings.
	heapPause       = 100 * time.Millisecond
	maxHeapReadings = 50
)

// waitForHeap waits until the connections of earlier measurements have returned their memory.
func waitForHeap() {
	last := heapInUse()
	for range maxHeapReadings {
		time.Sleep(heapPause)
		now := heapInUse()
		if math.Abs(now-last) < heapTolerance {
			return
		}
		last = now
	}
}

// linkMemory returns the memory of one link to a keeper, both sides, without that of the connection.
func linkMemory() float64 {
	merged := &mergedOrigins{Origins: newOrigins(discardedOrigins{}, nil), done: make(chan struct{}, 1)}
	path, handler := peerpb.NewPeerServiceHandler(linkServer{Server: home.NewServer(emptyHomes(), merged, func(context.Context) ident.Router { return "" })})
	client, stop := serve(&peer.Meter{}, path, handler, false)
	defer stop()
	remote, closeRemote := home.NewRemote(home.Edge{ID: "router-edge", Zone: "zone-a"}, nil, fixedClient{client}, 5*time.Second)
	defer closeRemote()
	open := func(i int) {
		remote.PublishOrigins(ident.Router(fmt.Sprint("router-", i)), originRecords(0, 1))
		<-merged.done
	}
	open(0)
	waitForHeap()
	_, bytes := measureMemory(func() *home.Remote {
		for i := range measuredLinks {
			open(i + 1)
		}
		return remote
	})
	return bytes / measuredLinks
}
