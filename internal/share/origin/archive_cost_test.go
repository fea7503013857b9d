package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// releaseCost is what the archive costs while a service has two versions, and when all routers restart.
type releaseCost struct {
	// WritesPerSecond and BytesPerSecond are of all routers, the latter as values of rows.
	WritesPerSecond float64
	BytesPerSecond  float64
	// Rows and RowBytes are what the store holds in the end.
	Rows     int
	RowBytes int
	// Reads and ReadBytes are those of one read of each group of buckets by each router that is asked for it.
	Reads     int
	ReadBytes int
}

const (
	// releaseTime is how long the release of the test lasts, in which rows expire.
	releaseTime = 3 * Lifetime
	// costStep is the step of the test's clock.
	costStep = 50 * time.Millisecond
)

// measureRelease plays a release in which streams begin at a rate. Only the routers that write are played; the others
// send them each stream twice, when it is expected and when it begins.
func measureRelease(routers, perSecond int) releaseCost {
	f := newFleet(0)
	all := newFleetList(routers)
	f.routers = all
	archivers := map[uint64]*Origins{}
	for bucket := range uint64(bucketCount) {
		id := archiverOf(bucket, "co", all)
		if f.origins[id] == nil {
			f.start(id)
		}
		archivers[bucket] = f.origins[id]
	}
	f.targets("v1", "v2")
	due := map[*Origins]time.Time{}
	swept := f.now
	f.store.writes, f.store.writtenBytes = 0, 0
	began := 0
	for start := f.now; f.now.Sub(start) < releaseTime; f.now = f.now.Add(costStep) {
		for ; began < int(f.now.Sub(start).Seconds()*float64(perSecond)); began++ {
			r := Record{Key: NewKey("w", fmt.Sprint(began)), Origin: Origin{Service: "service-7", Version: ident.Version(fmt.Sprint("v1.", began%2))}}
			archivers[bucketOf(r.Key)].MergeExpected([]Record{r})
			archivers[bucketOf(r.Key)].Merge([]Record{r})
		}
		for _, o := range f.origins {
			if f.now.Before(due[o]) {
				continue
			}
			due[o] = f.now.Add(o.flushInterval())
			o.Flush(context.Background())
		}
		if f.now.Sub(swept) >= Lifetime {
			swept = f.now
			archivers[0].sweepArchive(context.Background())
		}
	}
	out := releaseCost{
		WritesPerSecond: float64(f.store.writes) / releaseTime.Seconds(), BytesPerSecond: float64(f.store.writtenBytes) / releaseTime.Seconds(),
		Rows: len(f.store.rows[OriginTable]),
	}
	for _, row := range f.store.rows[OriginTable] {
		out.RowBytes += len(row.Key) + len(row.Value)
	}
	f.store.reads, f.store.readBytes = 0, 0
	for bucket := range uint64(bucketCount) {
		first, size := groupOf(bucket, routers)
		if bucket != first {
			continue
		}
		asked := map[ident.Router]bool{}
		for b := first; b < first+size; b++ {
			for _, id := range likelyKeepers(b, "", all) {
				asked[id] = true
			}
		}
		for range asked {
			_, _ = f.store.Range(context.Background(), OriginTable, bucketKey(first), bucketKey(first+size))
		}
	}
	out.Reads, out.ReadBytes = f.store.reads, f.store.readBytes
	return out
}

const (
	// maxArchiveWrites is a part of the 200 writes a second that one part of the store accepts from all routers.
	maxArchiveWrites = 100.0
	// maxArchiveBytes is the limit of a router's control traffic, in bytes a second.
	maxArchiveBytes = 5000.0
	// maxArchiveReads is what the smallest store answers in a second.
	maxArchiveReads = 2000
)

// Guards against an archive that takes too much of the store at any size of the fleet: its writes, bytes and rows during
// a release, and its reads when all routers restart.
func TestArchiveCosts(t *testing.T) {
	for _, c := range []struct{ routers, perSecond int }{{8, 300}, {80, 1000}, {300, 2000}, {986, 3000}} {
		got := measureRelease(c.routers, c.perSecond)
		writers := min(c.routers, bucketCount)
		t.Logf("%d routers, %d streams/s: %.0f writes/s, %.0f kB/s (%.1f kB/s a writer), %d rows of %d kB; after a restart %d reads of %d kB",
			c.routers, c.perSecond, got.WritesPerSecond, got.BytesPerSecond/1000, got.BytesPerSecond/1000/float64(writers), got.Rows, got.RowBytes/1000, got.Reads, got.ReadBytes/1000)
		over := []bool{got.WritesPerSecond > maxArchiveWrites, got.BytesPerSecond/float64(writers) > maxArchiveBytes, got.Reads > maxArchiveReads}
		if diff := cmp.Diff([]bool{false, false, false}, over); diff != "" {
			t.Errorf("%d routers: writes, bytes or reads over their limits: %s", c.routers, diff)
		}
	}
}
