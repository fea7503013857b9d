package origin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
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
	// loadTimeout limits a read of origins. Callers wait for it only for as long as for other routers.
	loadTimeout = time.Second
	// loadInterval is the shortest interval between two reads of the same buckets.
	loadInterval = time.Second
	// maxRemovedPerTxn limits the rows that one transaction removes.
	maxRemovedPerTxn = 100
)

// archivedRecord is an origin in the archive.
type archivedRecord struct {
	Record
	// expected is set if the stream had not begun when the record was made. Another record of the stream counts more.
	expected bool
}

// segment is the part of a bucket's origins that is kept in one row.
type segment struct {
	key       table.Key
	startedAt time.Time
	records   []archivedRecord
	// written is the number of records in the row.
	written int
}

// load is a read of a group of buckets.
type load struct {
	// done is closed once the read has ended.
	done chan struct{}
	// next is when the group may be read again.
	next time.Time
	ok   bool
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
	added, addedBefore map[Key]Origin
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
		added: map[Key]Origin{}, rotatedAt: startedAt,
	}
}

// add adds an origin to the segment of its bucket, unless it was added before.
func (a *archive) add(now time.Time, bucket uint64, r archivedRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wasAdded(now, r.Record) {
		return
	}
	s := a.open[bucket]
	if s == nil {
		a.count++
		s = &segment{key: table.Key(fmt.Sprintf("%s%s/%d", bucketKey(bucket), a.prefix, a.count)), startedAt: now}
		a.open[bucket] = s
	}
	if len(s.records) < maxSegmentRecords {
		s.records = append(s.records, r)
	}
}

// wasAdded reports whether the latest record of a stream is the same, and keeps it. The caller holds the lock.
func (a *archive) wasAdded(now time.Time, r Record) bool {
	if now.Sub(a.rotatedAt) >= memoryDuration {
		a.added, a.addedBefore, a.rotatedAt = map[Key]Origin{}, a.added, now
	}
	latest, known := a.added[r.Key]
	if !known {
		latest = a.addedBefore[r.Key]
	}
	a.added[r.Key] = r.Origin
	return latest == r.Origin
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

// packedOrigin is the origin of several streams.
type packedOrigin struct {
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	// Began is set if the streams had begun.
	Began bool `json:"began,omitempty"`
	// Keys are the keys of the streams, of keyBytes each.
	Keys []byte `json:"keys"`
}

// keyBytes is the size of a key in a row.
const keyBytes = 8

// packRecords groups records by their origins, in order of their first record.
func packRecords(records []archivedRecord) []packedOrigin {
	type group struct {
		Origin
		expected bool
	}
	var out []packedOrigin
	index := map[group]int{}
	for _, r := range records {
		g := group{r.Origin, r.expected}
		i, exists := index[g]
		if !exists {
			i = len(out)
			index[g] = i
			out = append(out, packedOrigin{Service: r.Service, Version: r.Version, Began: !r.expected})
		}
		out[i].Keys = binary.BigEndian.AppendUint64(out[i].Keys, uint64(r.Key))
	}
	return out
}

// unpackRecords returns the records in the value of a row.
func unpackRecords(value []byte) ([]archivedRecord, error) {
	var packed []packedOrigin
	if err := json.Unmarshal(value, &packed); err != nil {
		return nil, fault.New("origin.unpackRecords", BadRow, err)
	}
	var out []archivedRecord
	for _, p := range packed {
		for key := range slices.Chunk(p.Keys, keyBytes) {
			if len(key) < keyBytes {
				return nil, fault.Newf("origin.unpackRecords", BadRow, "%d bytes at the end", len(key))
			}
			r := Record{Key: Key(binary.BigEndian.Uint64(key)), Origin: Origin{Service: p.Service, Version: p.Version}}
			out = append(out, archivedRecord{Record: r, expected: !p.Began})
		}
	}
	return out, nil
}

// settle returns the origins that follow from all records of some streams. A stream that was expected at two versions
// and is not known to have begun has none.
func settle(records []archivedRecord) []Record {
	settled := map[Key]archivedRecord{}
	ambiguous := map[Key]bool{}
	for _, r := range records {
		before, exists := settled[r.Key]
		switch {
		case !exists || before.expected && !r.expected:
			settled[r.Key] = r
			delete(ambiguous, r.Key)
		case before.expected == r.expected && before.Origin != r.Origin:
			ambiguous[r.Key] = true
		}
	}
	out := make([]Record, 0, len(settled))
	for key, r := range settled {
		if !ambiguous[key] {
			out = append(out, r.Record)
		}
	}
	return out
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

// groupOf returns the first bucket of the group that is read together with a bucket, and the number of its buckets.
// Few routers read many buckets each, which is few calls; many routers read one bucket each.
func groupOf(bucket uint64, routers int) (first, size uint64) {
	size = 1
	for size < bucketCount && int(size)*routers < bucketCount {
		size *= 2
	}
	return bucket - bucket%size, size
}

// loadArchive reads the origins of a bucket from the store, unless that was done a moment ago. It waits until the
// read, which goes on without the caller, has ended, and reports whether the origins have been read.
func (o *Origins) loadArchive(ctx context.Context, bucket uint64) bool {
	first, size := groupOf(bucket, len(o.Routers()))
	l := o.archive.startLoad(o.Clock(), first, func(l *load) { o.runLoad(l, first, size) })
	select {
	case <-l.done:
		return l.ok
	case <-ctx.Done():
		return false
	}
}

// startLoad returns the latest read of a group, or starts one if it is too long ago.
func (a *archive) startLoad(now time.Time, group uint64, run func(*load)) *load {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.loads[group]; l != nil {
		select {
		case <-l.done:
			if now.Before(l.next) {
				return l
			}
		default:
			return l
		}
	}
	l := &load{done: make(chan struct{})}
	a.loads[group] = l
	go run(l)
	return l
}

// runLoad reads a group of buckets.
func (o *Origins) runLoad(l *load, first, size uint64) {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	page, err := o.Store.Range(ctx, OriginTable, bucketKey(first), bucketKey(first+size))
	var records []archivedRecord
	for _, row := range page.Rows {
		list, rowErr := unpackRecords(row.Value)
		if rowErr != nil {
			_ = level.Error(o.Logger).Log("msg", "failed to decode origins of streams", "key", row.Key, "err", rowErr)
		}
		records = append(records, list...)
	}
	settled := settle(records)
	o.mergeMissing(settled)
	_ = level.Info(o.Logger).Log("msg", "origins of streams read", "bucket", first, "buckets", size, "rows", len(page.Rows),
		"origins", len(settled), "era", page.At.Era, "version", page.At.Version, "err", err)
	l.ok = err == nil
	l.next = o.Clock().Add(loadInterval)
}

// mergeMissing records origins from the archive that this router does not have.
func (o *Origins) mergeMissing(records []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	for _, r := range records {
		if _, known := o.recent.get(now, r.Key); !known {
			o.recent.put(now, r, false)
		}
	}
}
