package origin

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// loadTimeout limits a read of origins. Callers wait for it only for as long as for other routers.
	loadTimeout = time.Second
	// loadInterval is the shortest interval between two reads of the same buckets.
	loadInterval = time.Second
)

// load is a read of a group of buckets.
type load struct {
	// done is closed once the read has ended.
	done chan struct{}
	// next is when the group may be read again.
	next time.Time
	ok   bool
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

// mergeMissing records origins from the archive of which this router does not know more.
func (o *Origins) mergeMissing(records []archivedRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	for _, r := range records {
		_, known := o.recent.get(now, r.Key)
		switch {
		case r.expected:
			o.recent.putExpected(now, r.Record)
		case !known || o.recent.onlyExpected(r.Key):
			o.recent.put(now, r.Record, false)
		}
	}
}
