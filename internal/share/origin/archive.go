package origin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// OriginTable is the name of the table that contains the origins of streams that began while their service had
// several versions, so that they outlive all routers. For each bucket one router writes them, the first in the order
// of its keepers, ten times a second at most, in rows of a second of streams.
const OriginTable table.Name = "stream_origins"

const (
	// minFlushInterval is the shortest interval between two writes of a router. A stream takes about as long to begin
	// once its request is sent.
	minFlushInterval = 100 * time.Millisecond
	// maxFlushRate limits the writes of all routers, in writes per second: a part of the 200 that one part of the
	// store accepts.
	maxFlushRate = 100
	// flushTimeout limits a write.
	flushTimeout = time.Second
	// segmentDuration is how long a row is extended before the next one is begun. Longer rows are written again more
	// often, shorter ones are more to read.
	segmentDuration = time.Second
	// maxSegmentRecords limits the origins of a row to 22 kB. Those of a bucket that exceed it while the store
	// accepts no writes are not archived.
	maxSegmentRecords = 2048
	// memoryDuration is how long a record is remembered at least: longer than streams take to begin.
	memoryDuration = 10 * time.Second
	// maxRemovedPerTxn limits the rows that one transaction removes.
	maxRemovedPerTxn = 100
)

// segment is the part of a bucket's origins that is kept in one row.
type segment struct {
	key       table.Key
	startedAt time.Time
	records   []archivedRecord
	// written is the number of records in the row.
	written int
}

// archive writes origins to the store and reads them back.
type archive struct {
	// prefix makes the keys of this process different from those of others.
	prefix string

	mu sync.Mutex
	// open contains the segment of each bucket that is being extended.
	open  map[uint64]*segment
	count int
	loads map[uint64]*load
	// added and addedBefore contain the latest record of each stream, of which most are added twice: before they begin
	// and when they do. addedBefore is evicted after memoryDuration.
	added, addedBefore map[Key]addedRecord
	rotatedAt          time.Time
	// flushing is held during a write, so that a row is not overwritten by an earlier state of it.
	flushing sync.Mutex
	// failing is set while writes fail.
	failing bool
	// unchanged contains the rows at the latest sweep.
	unchanged map[table.Key]table.Version
}

func newArchive(self ident.Router, startedAt time.Time) *archive {
	return &archive{
		prefix: fmt.Sprintf("%s/%s", self, strconv.FormatInt(startedAt.UnixMilli(), 36)), open: map[uint64]*segment{}, loads: map[uint64]*load{},
		added: map[Key]addedRecord{}, rotatedAt: startedAt,
	}
}

// add adds an origin to the segment of its bucket, unless it was added before.
func (a *archive) add(now time.Time, bucket uint64, r archivedRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wasAdded(now, r) {
		return
	}
	s := a.open[bucket]
	if s == nil {
		s = &segment{key: a.nextKey(bucket), startedAt: now}
		a.open[bucket] = s
	}
	if len(s.records) < maxSegmentRecords {
		s.records = append(s.records, r)
	}
}

// renameOpen gives the open segments other keys, so that a late write of an earlier state does not replace a later one.
func (a *archive) renameOpen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for bucket, s := range a.open {
		s.key, s.written = a.nextKey(bucket), 0
	}
}

// nextKey returns the key of another row of a bucket. The caller holds the lock.
func (a *archive) nextKey(bucket uint64) table.Key {
	a.count++
	return table.Key(fmt.Sprintf("%s%s/%d", bucketKey(bucket), a.prefix, a.count))
}

// wasAdded reports whether the latest record of a stream is the same, and keeps it. The caller holds the lock.
func (a *archive) wasAdded(now time.Time, r archivedRecord) bool {
	if now.Sub(a.rotatedAt) >= memoryDuration {
		a.added, a.addedBefore, a.rotatedAt = map[Key]addedRecord{}, a.added, now
	}
	latest, known := a.added[r.Key]
	if !known {
		latest, known = a.addedBefore[r.Key]
	}
	same := known && latest.Origin == r.Origin
	ambiguous := known && (latest.ambiguous || !same)
	a.added[r.Key] = addedRecord{r.Origin, ambiguous}
	return same && (r.expected || !ambiguous)
}

// addedRecord is the latest record of a stream. It is ambiguous if there was one of another version.
type addedRecord struct {
	Origin
	ambiguous bool
}

// bucketKey returns the smallest key of the rows of a bucket.
func bucketKey(bucket uint64) table.Key { return table.Key(fmt.Sprintf("%02d/", bucket)) }

// pending returns the rows that must be written, and how many records each contains.
func (a *archive) pending() (puts []table.Put, records map[*segment]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	records = map[*segment]int{}
	for _, s := range a.open {
		if s.written == len(s.records) {
			continue
		}
		puts = append(puts, table.Put{Table: OriginTable, Key: s.key, Value: encode(packRecords(s.records))})
		records[s] = len(s.records)
	}
	return puts, records
}

// written records that segments were written, and closes those that are full or old.
func (a *archive) written(now time.Time, records map[*segment]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s, count := range records {
		s.written = count
	}
	for bucket, s := range a.open {
		done := s.written == len(s.records) && (now.Sub(s.startedAt) >= segmentDuration || len(s.records) == maxSegmentRecords)
		if done || now.Sub(s.startedAt) >= Lifetime {
			delete(a.open, bucket)
		}
	}
}

// archiveIfAssigned adds an origin to the archive if this router writes those of its bucket.
func (o *Origins) archiveIfAssigned(r Record) {
	bucket := bucketOf(r.Key)
	if o.keepersOf(bucket).archiver == o.Self {
		o.archive.add(o.Clock(), bucket, archivedRecord{Record: r})
	}
}

// RunArchive writes origins to the store until the context ends, and removes those that have expired.
func (o *Origins) RunArchive(ctx context.Context) {
	var sweptAt time.Time
	for pause.Sleep(ctx, o.flushInterval()) {
		o.Flush(ctx)
		if now := o.Clock(); now.Sub(sweptAt) >= Lifetime {
			o.sweepArchive(ctx)
			sweptAt = now
		}
	}
}

// flushInterval returns the interval between two writes, at which all routers together do not exceed maxFlushRate.
func (o *Origins) flushInterval() time.Duration {
	archivers := min(len(o.Routers()), bucketCount)
	return max(minFlushInterval, time.Duration(archivers)*time.Second/maxFlushRate)
}

// Flush writes the origins that the store does not have yet. Those of a failed write are written with the next one.
func (o *Origins) Flush(ctx context.Context) {
	o.archive.flushing.Lock()
	defer o.archive.flushing.Unlock()
	puts, records := o.archive.pending()
	if len(puts) > 0 {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		err := o.Store.Commit(ctx, table.Txn{Puts: puts})
		o.logFlush(len(puts), err)
		if err != nil {
			// The write may still take effect, after a later one.
			o.archive.renameOpen()
			records = nil
		}
	}
	o.archive.written(o.Clock(), records)
}

// logFlush logs the first of consecutive failures, and the first write after them.
func (o *Origins) logFlush(rows int, err error) {
	o.archive.mu.Lock()
	defer o.archive.mu.Unlock()
	if failing := err != nil; failing != o.archive.failing {
		o.archive.failing = failing
		_ = level.Info(o.Logger).Log("msg", "writing origins of streams", "rows", rows, "failing", failing, "err", err)
	}
}

// sweepArchive removes the rows that have not been written since the sweep before, which is at least Lifetime ago. One
// router does so: the one that writes the first bucket.
func (o *Origins) sweepArchive(ctx context.Context) {
	if o.keepersOf(0).archiver != o.Self || !o.anySeveral() && len(o.archive.unchanged) == 0 {
		o.archive.unchanged = nil
		return
	}
	page, err := o.Store.All(ctx, OriginTable)
	if err != nil {
		return
	}
	rows := map[table.Key]table.Version{}
	var expired []table.Put
	for _, row := range page.Rows {
		if o.archive.unchanged[row.Key] == row.Version {
			expired = append(expired, table.Put{Table: OriginTable, Key: row.Key, Delete: true})
			continue
		}
		rows[row.Key] = row.Version
	}
	o.archive.unchanged = rows
	for part := range slices.Chunk(expired, maxRemovedPerTxn) {
		if err := o.Store.Commit(ctx, table.Txn{Puts: part}); err != nil {
			_ = level.Warn(o.Logger).Log("msg", "failed to remove expired origins of streams", "rows", len(part), "err", err)
			return
		}
	}
}

// anySeveral reports whether a service has several versions.
func (o *Origins) anySeveral() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.several) > 0
}
