package claim

import (
	"context"
	"sync"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// write is a conditional write of one row.
type write struct {
	check table.Check
	put   table.Put
}

// newWrite returns the write of a claim, conditional on the version of its row.
func newWrite(key Key, version table.Version, record Record) write {
	rowKey := key.row()
	return write{
		check: table.Check{Table: Table, Key: rowKey, Version: version},
		put:   table.Put{Table: Table, Key: rowKey, Value: encode(record)},
	}
}

// job is a queued write.
type job struct {
	write write
	// result is nil for writes that no caller waits for.
	result chan error
}

// batcher groups concurrent writes into shared transactions.
type batcher struct {
	store   Store
	options Options
	// retryForever retries a transaction until the store responds. It is set for writes that no
	// caller waits for.
	retryForever bool
	jobs         chan job
	// ctx is cancelled when stop returns.
	ctx    context.Context
	cancel context.CancelFunc
	// wg waits for run, tasks for the tasks in the background.
	wg    sync.WaitGroup
	tasks sync.WaitGroup
	once  sync.Once
	// closing is closed when stop is called.
	closing chan struct{}
}

func newBatcher(store Store, options Options, retryForever bool) *batcher {
	ctx, cancel := context.WithCancel(context.Background())
	b := &batcher{
		store: store, options: options, retryForever: retryForever,
		jobs: make(chan job, options.MaxQueued), ctx: ctx, cancel: cancel, closing: make(chan struct{}),
	}
	b.wg.Go(b.run)
	return b
}

// submit queues a write and waits for its result.
func (b *batcher) submit(ctx context.Context, w write) error {
	j := job{write: w, result: make(chan error, 1)}
	select {
	case b.jobs <- j:
	case <-ctx.Done():
		return fault.New("claim.write", table.Unavailable, ctx.Err())
	case <-b.closing:
		return fault.New("claim.write", table.Unavailable, nil)
	}
	select {
	case err := <-j.result:
		return err
	case <-ctx.Done():
		return fault.New("claim.write", table.Unknown, ctx.Err())
	}
}

// enqueue queues a write without waiting for it. The write is dropped if the queue is full.
func (b *batcher) enqueue(w write) {
	select {
	case b.jobs <- job{write: w}:
	default:
	}
}

// background runs a task that stop waits for. Its context is cancelled when stop returns.
func (b *batcher) background(task func(context.Context)) {
	b.tasks.Go(func() { task(b.ctx) })
}

// stop commits the queued writes and waits for background tasks until ctx is done.
func (b *batcher) stop(ctx context.Context) {
	b.once.Do(func() { close(b.closing) })
	done := make(chan struct{})
	go func() {
		b.tasks.Wait()
		b.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	b.cancel()
	<-done
}

// run commits queued writes until the batcher stops.
func (b *batcher) run() {
	for {
		select {
		case first := <-b.jobs:
			b.commit(b.collect(first))
		case <-b.closing:
			b.drain()
			return
		}
	}
}

// drain commits the writes that remain in the queue when the batcher stops.
func (b *batcher) drain() {
	for {
		select {
		case first := <-b.jobs:
			b.commit(b.collect(first))
		default:
			return
		}
	}
}

// collect gathers the jobs that arrive within BatchDelay, up to MaxBatch. A transaction cannot
// contain two writes of one row, so the second one starts a new transaction.
func (b *batcher) collect(first job) []job {
	jobs := []job{first}
	keys := map[table.Key]bool{first.write.put.Key: true}
	timer := time.NewTimer(b.options.BatchDelay)
	defer timer.Stop()
	for len(jobs) < b.options.MaxBatch {
		select {
		case j := <-b.jobs:
			if keys[j.write.put.Key] {
				b.commit(jobs)
				jobs = nil
				clear(keys)
			}
			keys[j.write.put.Key] = true
			jobs = append(jobs, j)
		case <-timer.C:
			return jobs
		}
	}
	return jobs
}

// commit writes all jobs in one transaction. If a check fails, each job is retried in a transaction
// of its own, so that a single taken key does not block the others.
func (b *batcher) commit(jobs []job) {
	var txn table.Txn
	for _, j := range jobs {
		txn.Checks = append(txn.Checks, j.write.check)
		txn.Puts = append(txn.Puts, j.write.put)
	}
	err := b.commitWithRetry(txn)
	if table.KindOf(err) == table.Conflict && len(jobs) > 1 {
		for _, j := range jobs {
			b.commit([]job{j})
		}
		return
	}
	for _, j := range jobs {
		if j.result != nil {
			j.result <- err
		}
	}
}

// commitWithRetry commits once or, with retryForever, until the store responds. A retried write
// whose first response was lost conflicts with the version that it wrote itself, which ends the
// retries.
func (b *batcher) commitWithRetry(txn table.Txn) error {
	for {
		err := b.store.Commit(b.ctx, txn)
		kind := table.KindOf(err)
		retryable := kind == table.Unavailable || kind == table.Unknown
		if !b.retryForever || !retryable || !pause.Sleep(b.ctx, b.options.RetryDelay) {
			return err
		}
	}
}
