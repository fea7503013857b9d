package guard

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
	"valescale/internal/rule/crash"
)

// RequestTable is the name of the table with a row for each quarantined request, PartTable that of the
// table with a row for each quarantined part of prompts. The rows keep the quarantines in force when all
// routers of a fleet restart.
const (
	RequestTable table.Name = "held_requests"
	PartTable    table.Name = "held_parts"
)

// tableOf returns the name of the table with the rows of traits of a kind.
func tableOf(kind crash.Kind) table.Name {
	if kind == crash.PromptPart {
		return PartTable
	}
	return RequestTable
}

// Store is the store that contains the rows.
type Store interface {
	// QuarantineRows returns all rows of a table.
	QuarantineRows(ctx context.Context, name table.Name) ([]table.Row, error)
	// Commit applies a transaction atomically.
	Commit(ctx context.Context, txn table.Txn) error
}

// Kind classifies errors of this package.
type Kind string

// BadRow means that a row cannot be decoded.
const BadRow Kind = "bad_row"

// Error is this package's error type.
type Error = fault.Error[Kind]

// suspectRow is the value of a row. It contains wall clock times: the clocks of the boxes are close
// enough to each other for quarantine times of minutes.
type suspectRow struct {
	Ends []crashEntry `json:"ends"`
}

// crashEntry is the crash of one target.
type crashEntry struct {
	Start  crash.Start `json:"start"`
	UnixMS int64       `json:"unix_ms"`
	RanMS  int64       `json:"ran_ms"`
}

// keyBase is the number base of row keys.
const keyBase = 16

// encodeRow returns the write of the row of a suspect.
func encodeRow(s crash.Suspect) table.Put {
	var row suspectRow
	for _, e := range s.Crashes {
		row.Ends = append(row.Ends, crashEntry{Start: e.Start, UnixMS: e.At.UnixMilli(), RanMS: e.Ran.Milliseconds()})
	}
	value, err := json.Marshal(row)
	if err != nil {
		// The row contains only numbers, which can always be encoded.
		panic(err)
	}
	return table.Put{Table: tableOf(s.Kind), Key: table.Key(s.Trait.String()), Value: value}
}

// decodeRow decodes the row of a suspect whose trait is of the given kind. Crash times in the future, as written by a router
// whose clock is ahead, are replaced by the current time.
func decodeRow(now time.Time, kind crash.Kind, row table.Row) (crash.Suspect, error) {
	const op = "guard.decodeRow"
	hash, err := strconv.ParseUint(string(row.Key), keyBase, 64)
	if err != nil {
		return crash.Suspect{}, fault.New(op, BadRow, err)
	}
	var value suspectRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return crash.Suspect{}, fault.New(op, BadRow, err)
	}
	s := crash.Suspect{Trait: crash.Trait{Kind: kind, Hash: hash}}
	for _, e := range value.Ends {
		at := time.UnixMilli(e.UnixMS)
		if at.After(now) {
			at = now
		}
		s.Crashes = append(s.Crashes, crash.Crash{Start: e.Start, At: at, Ran: time.Duration(e.RanMS) * time.Millisecond})
	}
	return s, nil
}

const (
	// storeRetryDelay is the delay between two attempts to reach the store, many times its usual
	// response time. It doubles with each failed read up to maxStoreRetryDelay: quarantined
	// requests are sent rarely, so that reading them late does little harm.
	storeRetryDelay    = 500 * time.Millisecond
	maxStoreRetryDelay = 8 * time.Second
	// storeTimeout limits one call of the store.
	storeTimeout = time.Second
)

// Run reads the quarantined requests from the store, if this router is a reader, and writes new
// ones to it until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.loadOnce(ctx) })
	g.writeLoop(ctx)
}

// loadOnce loads the rows once, with retries. Only readers do so, and the other routers receive the
// suspect requests by gossip: if all routers read the store, 300 routers that start together, or
// retry while the store does not respond, would send it 300 requests at a time.
func (g *Guard) loadOnce(ctx context.Context) {
	for delay := storeRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxStoreRetryDelay) {
		if g.IsReader() && g.load(ctx) {
			return
		}
		pause.Sleep(ctx, delay)
	}
}

// writeLoop writes unsaved rows to the store until ctx is done.
func (g *Guard) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.saveRequested:
		}
		for ctx.Err() == nil && !g.writeUnsaved(ctx) {
			pause.Sleep(ctx, storeRetryDelay)
		}
	}
}

// load merges the rows of the store, removes those that have expired or cannot be decoded, and
// reports whether the store responded.
func (g *Guard) load(ctx context.Context) bool {
	for _, kind := range []crash.Kind{crash.WholeRequest, crash.PromptPart} {
		if !g.loadKind(ctx, kind) {
			return false
		}
	}
	return true
}

// loadKind is load for the traits of one kind.
func (g *Guard) loadKind(ctx context.Context, kind crash.Kind) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := g.Store.QuarantineRows(ctx, tableOf(kind))
	if err != nil {
		_ = level.Warn(g.Logger).Log("msg", "could not read quarantined requests from the store", "err", err)
		return false
	}
	var list []crash.Suspect
	for _, row := range rows {
		s, err := decodeRow(g.Clock(), kind, row)
		if err != nil || s.Expired(g.Clock()) {
			g.remove(ctx, kind, row, err)
			continue
		}
		list = append(list, s)
	}
	g.Incoming(list)
	return true
}

// remove deletes a row that has expired or cannot be decoded, unless it has been written again
// since.
func (g *Guard) remove(ctx context.Context, kind crash.Kind, row table.Row, cause error) {
	name := tableOf(kind)
	err := g.Store.Commit(ctx, table.Txn{
		Checks: []table.Check{{Table: name, Key: row.Key, Version: row.Version}},
		Puts:   []table.Put{{Table: name, Key: row.Key, Delete: true}},
	})
	_ = level.Info(g.Logger).Log("msg", "removed the row of a quarantined request", "trait", kind, "fingerprint", row.Key, "cause", cause, "err", err)
}

// scheduleSave has the row of a trait written by writeLoop; the caller holds the lock.
func (g *Guard) scheduleSave(t crash.Trait) {
	g.unsaved[t] = true
	select {
	case g.saveRequested <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// Rewrite schedules rows to be written again that the store may have lost in a store rollback:
// those of traits whose crashes this router observed and, if it is a reader, those of all
// quarantined traits, since the routers that observed the crashes may no longer run.
func (g *Guard) Rewrite() {
	all := g.IsReader()
	g.mu.Lock()
	defer g.mu.Unlock()
	for t := range g.quarantined {
		if _, own, _ := g.record.Find(t); own || all {
			g.scheduleSave(t)
		}
	}
	_ = level.Info(g.Logger).Log("msg", "writing quarantined requests to the store again", "requests", len(g.unsaved), "all", all)
}

// maxRowsPerTxn limits the rows of one transaction; the store accepts up to a hundred.
const maxRowsPerTxn = 50

// writeUnsaved writes up to maxRowsPerTxn unsaved rows and reports whether no unsaved rows are left.
func (g *Guard) writeUnsaved(ctx context.Context) bool {
	var txn table.Txn
	g.mu.Lock()
	for t := range g.unsaved {
		if s, _, found := g.record.Find(t); found {
			txn.Puts = append(txn.Puts, encodeRow(s))
		}
		delete(g.unsaved, t)
		if len(txn.Puts) == maxRowsPerTxn {
			break
		}
	}
	left := len(g.unsaved)
	g.mu.Unlock()
	if len(txn.Puts) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := g.Store.Commit(ctx, txn); err != nil {
		_ = level.Warn(g.Logger).Log("msg", "could not write quarantined requests to the store", "requests", len(txn.Puts), "err", err)
		g.markUnsaved(txn)
		return false
	}
	return left == 0
}

// markUnsaved marks the rows of a transaction that failed as unsaved again.
func (g *Guard) markUnsaved(txn table.Txn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, put := range txn.Puts {
		kind := crash.WholeRequest
		if put.Table == PartTable {
			kind = crash.PromptPart
		}
		if hash, err := strconv.ParseUint(string(put.Key), keyBase, 64); err == nil {
			g.unsaved[crash.Trait{Kind: kind, Hash: hash}] = true
		}
	}
}
