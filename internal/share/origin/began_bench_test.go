package origin

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/plat/ident"
)

// discard is Peers that receive nothing and know nothing.
type discard struct{}

func (discard) PublishOrigins(ident.Router, []Record) {}

func (discard) PublishExpected(ident.Router, Record) {}

func (discard) FindOrigin(context.Context, ident.Router, Key, ident.Service) (Answer, error) {
	return Answer{}, nil
}

// benchedOrigins returns the origins of the first of some routers, which are in three availability zones.
// The list of routers is made anew for each call, as it is by a router.
func benchedOrigins(routers int, versions ...ident.Version) *Origins {
	all := newFleetList(routers)
	now := time.Unix(1000, 0)
	o := New(Parts{
		Self: all[0].ID, Region: "co", Peers: discard{}, Routers: func() []Router { return slices.Clone(all) }, RoutersVersion: func() uint64 { return 1 }, AnyDead: func() bool { return false }, RowsCurrent: func() bool { return true },
		WokeAt: neverSuspended, Store: newMemoryStore(), Role: writes, Logger: log.NewNopLogger(), Clock: func() time.Time { return now },
	})
	for _, version := range versions {
		o.TargetAdded(Origin{Service: "s", Version: version})
	}
	return o
}

// newFleetList returns routers in three availability zones, in turn.
func newFleetList(count int) []Router {
	var out []Router
	for i := range count {
		out = append(out, Router{
			ID: ident.Router(fmt.Sprint("router-", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%3)), Region: "co", Accepts: true,
		})
	}
	return out
}

// BenchmarkBegan measures the record of one stream, which is made before its first event is sent to the
// caller. The table is full, as in steady operation. Messages to the keepers are not sent.
func BenchmarkBegan(b *testing.B) {
	for _, routers := range []int{8, 300, 986} {
		for _, versions := range [][]ident.Version{{"v1"}, {"v1", "v2"}} {
			b.Run(fmt.Sprintf("routers=%d/versions=%d", routers, len(versions)), func(b *testing.B) {
				o := benchedOrigins(routers, versions...)
				for i := range maxRecords {
					o.Merge([]Record{{Key: Key(i + 1), Origin: Origin{Service: "s", Version: "v1"}}})
				}
				next := Key(maxRecords)
				b.ReportAllocs()
				for b.Loop() {
					next++
					o.Began(Record{Key: next, Origin: Origin{Service: "s", Version: "v1"}})
				}
			})
		}
	}
}
