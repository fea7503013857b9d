package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// Options limit the resources that claims use.
type Options struct {
	// MaxInlineBytes is the size of the largest answer body that is stored in the row itself.
	MaxInlineBytes int
	// BatchDelay is how long a write waits for other writes to share its transaction.
	BatchDelay time.Duration
	// MaxBatch is the maximum number of rows in one transaction.
	MaxBatch int
	// RetryDelay is the delay between two attempts while the store does not respond.
	RetryDelay time.Duration
	// MaxQueued is the maximum number of outcomes queued for the store. Further ones are dropped,
	// and their answers cannot be replayed.
	MaxQueued int
	// RecentTTL is how long claims are kept in memory to be rewritten after a store rollback. It
	// must exceed the age of any snapshot that the store can be restored from. MaxRecentBytes
	// limits the answer bodies kept with them.
	RecentTTL      time.Duration
	MaxRecentBytes int
}

// DefaultOptions suit a store that handles a few hundred writes per second.
var DefaultOptions = Options{
	MaxInlineBytes: 32 << 10, BatchDelay: 3 * time.Millisecond, MaxBatch: 32, RetryDelay: 50 * time.Millisecond, MaxQueued: 10_000,
	RecentTTL: 30 * time.Second, MaxRecentBytes: 16 << 20,
}

// Claims begins, finishes and releases claims.
type Claims struct {
	store         EraStore
	objects       Objects
	options       Options
	logger        log.Logger
	clock         ident.Clock
	beginWrites   *batcher
	outcomeWrites *batcher
	recentClaims  *recentClaims
	mu            sync.Mutex
	// restoreCount is the number of store rollbacks observed. No claims are made before
	// blockedUntil.
	restoreCount int
	blockedUntil time.Time
	// era is the latest era observed, recordedEra the one that this router last recorded as settled.
	era         table.Era
	recordedEra table.Era
}

// New returns Claims and a function that writes the outstanding outcomes and stops it.
func New(store EraStore, objects Objects, options Options, logger log.Logger, clock ident.Clock) (*Claims, func(context.Context)) {
	c := &Claims{
		store: store, objects: objects, options: options, logger: logger, clock: clock,
		recentClaims: newRecentClaims(options.RecentTTL, options.MaxRecentBytes, clock),
	}
	store.OnChange(c.onRestore)
	c.beginWrites = newBatcher(store, options, false)
	c.outcomeWrites = newBatcher(store, options, true)
	return c, func(ctx context.Context) {
		c.beginWrites.stop(ctx)
		c.outcomeWrites.stop(ctx)
	}
}

// Begin claims a key. It returns a ticket if the request may be sent now, or the stored answer if
// the request has run before. Any error other than Running means that this call has sent nothing
// and never will.
func (c *Claims) Begin(ctx context.Context, key Key, hash BodyHash) (*Ticket, *Answer, error) {
	attempt := NewAttempt()
	var rowVersion table.Version
	c.endFirstBlock(ctx)
	restores, _ := c.restores()
	if err := c.checkNotRestored(restores); err != nil {
		return nil, nil, err
	}
	c.recordSettled()
	for {
		version, err := c.write(ctx, key, hash, attempt, rowVersion)
		if err == nil {
			return c.newTicket(key, hash, attempt, version, restores)
		}
		if table.KindOf(err) == table.Rejected {
			return nil, nil, fault.New("claim.Begin", Unavailable, err)
		}
		row, record, err := c.readRow(ctx, key)
		switch {
		case err != nil:
			c.releaseAbandoned(key, attempt)
			return nil, nil, err
		case record == nil:
			// The row does not exist: retry the write under the same attempt.
			rowVersion = 0
			continue
		case record.Attempt == attempt && record.State == Sent:
			return c.newTicket(key, hash, attempt, row.Version, restores)
		case record.State == Released:
			rowVersion = row.Version
			continue
		}
		if record.State == Sent && record.BodyHash == hash {
			if row, record, err = c.awaitOutcome(ctx, key); err != nil {
				return nil, nil, err
			}
			if record.State == Released {
				rowVersion = row.Version
				continue
			}
		}
		answer, err := c.resolve(ctx, *record, hash)
		return nil, answer, err
	}
}

// newTicket returns the ticket for a claim that was written. If the store was restored from an
// older snapshot in the meantime, the claim is released instead, because another router's claim on
// the key may have been lost.
func (c *Claims) newTicket(key Key, hash BodyHash, attempt ident.Attempt, version table.Version, restores int) (*Ticket, *Answer, error) {
	ticket := &Ticket{Key: key, Attempt: attempt, Version: version, era: c.store.CurrentEra(), hash: hash}
	c.recentClaims.add(key, c.record(Sent, attempt, hash), version)
	if err := c.checkNotRestored(restores); err != nil {
		c.Release(ticket)
		return nil, nil, err
	}
	return ticket, nil, nil
}

// record returns the record of a claim that reaches a state now.
func (c *Claims) record(state State, attempt ident.Attempt, hash BodyHash) Record {
	return Record{State: state, Attempt: attempt, BodyHash: hash, UnixMS: c.clock().UnixMilli()}
}

// maxAwaitDelay limits the delay between two reads of a claim that another attempt holds.
const maxAwaitDelay = time.Second

// awaitOutcome waits until a request running under another attempt ends, or until ctx is done.
func (c *Claims) awaitOutcome(ctx context.Context, key Key) (table.Row, *Record, error) {
	delay := c.options.RetryDelay
	for {
		if !pause.Sleep(ctx, delay) {
			return table.Row{}, nil, fault.New("claim.Begin", Running, nil)
		}
		delay = min(delay*2, maxAwaitDelay)
		row, err := c.store.Get(ctx, Table, key.row())
		if err != nil {
			continue
		}
		record, err := decode(row)
		if err != nil {
			return row, nil, err
		}
		if record.State != Sent {
			return row, &record, nil
		}
	}
}

// write tries to write the claim, conditional on the row still having rowVersion.
func (c *Claims) write(ctx context.Context, key Key, hash BodyHash, attempt ident.Attempt, rowVersion table.Version) (table.Version, error) {
	err := c.beginWrites.submit(ctx, newWrite(key, rowVersion, c.record(Sent, attempt, hash)))
	return rowVersion + 1, err
}

// readRow reads the row, retrying until the store responds. The record is nil if there is no row.
func (c *Claims) readRow(ctx context.Context, key Key) (table.Row, *Record, error) {
	const op = "claim.Begin"
	for {
		row, err := c.store.Get(ctx, Table, key.row())
		switch table.KindOf(err) {
		case "":
			if err != nil {
				return row, nil, fault.New(op, Unavailable, err)
			}
			record, err := decode(row)
			if err != nil {
				return row, nil, err
			}
			return row, &record, nil
		case table.Missing:
			return row, nil, nil
		}
		if !pause.Sleep(ctx, c.options.RetryDelay) {
			return row, nil, fault.New(op, Unavailable, err)
		}
	}
}

// resolve returns the result of an earlier claim on the key, or the reason why this request must
// not run.
func (c *Claims) resolve(ctx context.Context, record Record, hash BodyHash) (*Answer, error) {
	const op = "claim.Begin"
	if record.BodyHash != hash {
		return nil, fault.New(op, Mismatch, nil)
	}
	if record.State != Done {
		return nil, fault.New(op, Running, nil)
	}
	if record.Answer != nil {
		return record.Answer, nil
	}
	data, err := c.objects.Get(ctx, record.Object)
	if err != nil {
		// The request has run, but its answer cannot be read now.
		return nil, fault.New(op, Running, err)
	}
	var answer Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, fault.New(op, Damaged, err)
	}
	return &answer, nil
}

// Finish records the answer of a claimed request, batched with other writes. If the record is lost,
// a repeated request gets an unknown outcome; it never runs again.
func (c *Claims) Finish(ticket *Ticket, answer Answer) {
	record := c.record(Done, ticket.Attempt, ticket.hash)
	if len(answer.Body) <= c.options.MaxInlineBytes {
		record.Answer = &answer
		c.update(ticket, record)
		return
	}
	record.Object = "answer-" + string(ticket.Attempt)
	data, err := json.Marshal(answer)
	if err != nil {
		return
	}
	c.outcomeWrites.background(func(ctx context.Context) {
		if c.objects.Put(ctx, record.Object, data) == nil {
			c.update(ticket, record)
		}
	})
}

// Release releases a claim under which nothing was sent.
func (c *Claims) Release(ticket *Ticket) {
	c.update(ticket, c.record(Released, ticket.Attempt, ticket.hash))
}

// update queues the write of a claim's outcome.
func (c *Claims) update(ticket *Ticket, record Record) {
	version := c.recentClaims.setOutcome(ticket, record)
	c.outcomeWrites.enqueue(newWrite(ticket.Key, version, record))
}

// releaseAbandoned releases a claim whose write had no known result and under which this process
// never sends.
func (c *Claims) releaseAbandoned(key Key, attempt ident.Attempt) {
	c.outcomeWrites.background(func(ctx context.Context) {
		row, record, err := c.readRow(ctx, key)
		if err != nil || record == nil || record.Attempt != attempt || record.State != Sent {
			return
		}
		c.Release(&Ticket{Key: key, Attempt: attempt, Version: row.Version, hash: record.BodyHash})
	})
}
