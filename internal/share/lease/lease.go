package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Held means that another holder has the lease.
	Held Kind = "held"
	// Unavailable means that the store does not respond.
	Unavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Table is the name of the table of leases.
const Table table.Name = "lease"

// Store contains the table operations that leases require.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) error
	Get(ctx context.Context, name table.Name, key table.Key) (table.Row, error)
}

// record is the value of a lease's row.
type record struct {
	Holder ident.Router `json:"holder"`
	Epoch  ident.Epoch  `json:"epoch"`
	// Attempt identifies the holder's process, so that a restarted router does not treat the writes
	// of its previous process as its own.
	Attempt string `json:"attempt"`
	// TTLMS is how long the lease is valid after each write, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// Lease is this router's view of one lease.
type Lease struct {
	store     Store
	name      table.Key
	holder    ident.Router
	processID string
	ttl       time.Duration
	clock     ident.Clock
	mu        sync.Mutex
	// epoch and until are set while this router holds the lease.
	epoch ident.Epoch
	until time.Time
	// lastWriteEra is the era in which this router last tried to write the row.
	lastWriteEra table.Era
	// lastSeen is the position of the row as last read, and unchangedSince is the time since when
	// it has not changed. That time is from this router's own clock: clocks of different boxes are
	// never compared.
	lastSeen       table.Position
	unchangedSince time.Time
	// restored is set while the row, or its absence, may come from an older snapshot that the store
	// was restored from. Another router may then hold the lease regardless of the row.
	restored bool
}

// New returns a lease that is not held. The processID must differ between processes.
func New(store Store, name string, holder ident.Router, processID string, ttl time.Duration, clock ident.Clock) *Lease {
	return &Lease{store: store, name: table.Key(name), holder: holder, processID: processID, ttl: ttl, clock: clock}
}

// Epoch returns the epoch while the lease is held. It must be called before each use, because the
// lease can expire at any time.
func (l *Lease) Epoch() (ident.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || !l.clock().Before(l.until) {
		return 0, false
	}
	return l.epoch, true
}

// AcquireOrRenew renews the lease if it is held, or acquires it if its row has not changed for the
// holder's TTL. It must be called several times per TTL.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	const op = "lease.Step"
	// The TTL is counted from before the write, so that the lease expires here no later than for
	// other routers, which see the row only after the write.
	started := l.clock()
	row, current, err := l.read(ctx)
	if err != nil {
		return fault.New(op, Unavailable, err)
	}
	next, ok := l.next(started, row, current)
	if !ok {
		return fault.Newf(op, Held, "lease is held by %s", current.Holder)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fault.New(op, Unavailable, err)
	}
	txn := table.Txn{
		Checks: []table.Check{{Table: Table, Key: l.name, Version: row.Version}},
		Puts:   []table.Put{{Table: Table, Key: l.name, Value: value}},
	}
	l.setWriteEra(row.Era)
	if err := l.store.Commit(ctx, txn); err != nil {
		// If the write took effect despite the error, the next call reads the row as this router's
		// own.
		return fault.New(op, Unavailable, err)
	}
	l.hold(started, next.Epoch, table.Position{Era: row.Era, Version: row.Version + 1})
	return nil
}

// read returns the row of the lease and the record in it. Both are zero, but for the row's era, if
// there is none.
func (l *Lease) read(ctx context.Context) (table.Row, record, error) {
	var current record
	row, err := l.store.Get(ctx, Table, l.name)
	if err != nil && table.KindOf(err) != table.Missing {
		return row, current, err
	}
	if row.Version > 0 {
		err = json.Unmarshal(row.Value, &current)
		return row, current, err
	}
	return row, current, nil
}

// hold records that this router holds the lease, which it wrote at a position after the given time.
func (l *Lease) hold(since time.Time, epoch ident.Epoch, written table.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = epoch
	l.until = since.Add(l.ttl)
	l.lastSeen, l.unchangedSince = written, since
	l.restored = false
}

// setWriteEra records the era in which this router tries to write the row.
func (l *Lease) setWriteEra(era table.Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWriteEra = era
}

// next returns the record to write: a renewal under the same epoch, or a takeover under the next
// one.
func (l *Lease) next(now time.Time, row table.Row, current record) (record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := record{Holder: l.holder, Epoch: current.Epoch, Attempt: l.processID, TTLMS: l.ttl.Milliseconds()}
	if l.isOwn(now, row, current) {
		return next, true
	}
	l.epoch = 0
	l.observe(now, row.Position())
	ttl := time.Duration(current.TTLMS) * time.Millisecond
	if l.restored {
		ttl = max(ttl, l.ttl)
	}
	free := row.Version == 0 || current.Holder == ""
	if (!free || l.restored) && now.Sub(l.unchangedSince) <= ttl {
		return record{}, false
	}
	// Epochs of an earlier era that the store has lost are not issued again.
	next.Epoch = max(current.Epoch, table.Position{Era: row.Era}.Fence()) + 1
	return next, true
}

// isOwn reports whether a row was written by this process and may be renewed. A row of an earlier
// hold can reappear with an older snapshot of the store while another router holds the lease.
func (l *Lease) isOwn(now time.Time, row table.Row, current record) bool {
	if row.Version == 0 || current.Holder != l.holder || current.Attempt != l.processID {
		return false
	}
	holds := l.epoch != 0 && l.epoch == current.Epoch && now.Before(l.until)
	return holds || row.Era == l.lastWriteEra
}

// observe records a row that is not this router's own, and the time since when it has not changed.
func (l *Lease) observe(now time.Time, row table.Position) {
	if !l.unchangedSince.IsZero() && row == l.lastSeen {
		return
	}
	l.restored = l.restored || !l.unchangedSince.IsZero() && row.Era > l.lastSeen.Era
	l.lastSeen, l.unchangedSince = row, now
}

// giveUp ends the use of the lease on this router and reports whether it held it.
func (l *Lease) giveUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.epoch != 0
	l.epoch = 0
	return held
}

// Release gives up the lease, so that another router need not wait for it to expire.
func (l *Lease) Release(ctx context.Context) error {
	const op = "lease.Release"
	if !l.giveUp() {
		return nil
	}
	row, err := l.store.Get(ctx, Table, l.name)
	if err != nil {
		return fault.New(op, Unavailable, err)
	}
	var current record
	if err := json.Unmarshal(row.Value, &current); err != nil || current.Attempt != l.processID {
		return fault.New(op, Held, err)
	}
	value, err := json.Marshal(record{Epoch: current.Epoch})
	if err != nil {
		return fault.New(op, Unavailable, err)
	}
	if err := l.store.Commit(ctx, table.Replace(row, value)); err != nil {
		return fault.New(op, Unavailable, err)
	}
	return nil
}
