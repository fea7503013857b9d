package origin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// Store contains the table operations that origins require.
type Store interface {
	// All reads a full table.
	All(ctx context.Context, name table.Name) (table.Page, error)
	// Range reads the rows of a table from a key up to another one, which is excluded.
	Range(ctx context.Context, name table.Name, from, to table.Key) (table.Page, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn table.Txn) error
}

// VersionTable is the name of the table of the versions that each service has had within Lifetime. A router that has
// just started knows from it what the service had before.
const VersionTable table.Name = "service_versions"

const (
	// servicePrefix is the key prefix of the row of a service; the rest of the key is the service's name.
	servicePrefix = "service/"
	// eraKey is the key of the row with the era in which the table was last known to be complete.
	eraKey table.Key = "era"
)

// firstEra is the highest era of a store that was never restored. Only there nobody can have written to a table that is
// empty.
const firstEra table.Era = 1

// serviceRow is the value of a service's row.
type serviceRow struct {
	Versions []ident.Version `json:"versions"`
}

// eraRow is the value of the row with the era.
type eraRow struct {
	Era table.Era `json:"era"`
}

// Role is how a router takes part in keeping the table of versions.
type Role int

const (
	// OnlyReads is the role of a router that does not write to the table.
	OnlyReads Role = iota
	// WritesLate is the role of a router that writes what those with the role Writes have not written for backupDelay.
	WritesLate
	// Writes is the role of a router that writes changes at once.
	Writes
)

const (
	// recordInterval is the interval between two checks whether the table must be read or written.
	recordInterval = time.Second
	// recordTimeout limits each read of the table of versions.
	recordTimeout = time.Second
	// minRecordBackoff and maxRecordBackoff limit the delay after a failed read.
	minRecordBackoff = 50 * time.Millisecond
	maxRecordBackoff = 4 * time.Second
	// backupDelay is how long the routers with the role Writes may take to write a change.
	backupDelay = 3 * time.Second
	// maxServicesPerTxn limits the rows of one transaction, which may contain a hundred checks and writes.
	maxServicesPerTxn = 40
)

// versionRecord is the table of versions as last read.
type versionRecord struct {
	// readAt is when the table was last read, or zero.
	readAt time.Time
	// outdated is set once the store has lost writes, until the table is read again.
	outdated bool
	// complete is set once the table was known to contain all versions: it was written in the current era, or nobody
	// has ever written it.
	complete bool
	// era is the era of the latest read, markedEra the one in the row with the key eraKey.
	era       table.Era
	markedEra table.Era
	marker    table.Version
	services  map[ident.Service]recordedService
}

// recordedService is the row of one service.
type recordedService struct {
	version  table.Version
	versions []ident.Version
	// damaged is set if the row cannot be decoded.
	damaged bool
}

// newVersionRecord returns the table of versions before it was read.
func newVersionRecord() *versionRecord {
	return &versionRecord{services: map[ident.Service]recordedService{}}
}

// decodeRecord decodes the table of versions.
func decodeRecord(page table.Page, now time.Time) (*versionRecord, error) {
	const op = "origin.decodeRecord"
	r := newVersionRecord()
	r.readAt, r.era = now, page.At.Era
	r.complete = true
	for _, row := range page.Rows {
		if row.Key == eraKey {
			var marked eraRow
			if err := json.Unmarshal(row.Value, &marked); err != nil {
				return nil, fault.New(op, BadRow, err)
			}
			r.markedEra, r.marker = marked.Era, row.Version
		}
		service, found := strings.CutPrefix(string(row.Key), servicePrefix)
		if !found {
			continue
		}
		var value serviceRow
		damaged := false
		if json.Unmarshal(row.Value, &value) != nil {
			// A router that knows all versions writes the row again.
			damaged = true
			value.Versions = nil
		}
		r.services[ident.Service(service)] = recordedService{version: row.Version, versions: value.Versions, damaged: damaged}
		r.complete = r.complete && !damaged
	}
	r.complete = r.complete && (r.marker == 0 && r.era <= firstEra || r.marker != 0 && r.markedEra >= r.era)
	return r, nil
}

// knowsAll reports whether this router knows all versions that any service had within Lifetime: the table said so
// since this process last ran without interruption, or the process has seen all of it itself. The caller holds the lock.
func (o *Origins) knowsAll() bool {
	now, wokeAt := o.Clock(), o.WokeAt()
	if o.record.complete && !o.record.readAt.Before(wokeAt) {
		return true
	}
	since := o.observedSince
	if wokeAt.After(since) {
		since = wokeAt
	}
	return !since.IsZero() && now.Sub(since) >= Lifetime
}

// applyRecord merges the table of versions with what this router has observed.
func (o *Origins) applyRecord(r *versionRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// What was known to be complete stays so if the store loses it later, since this process saw what followed.
	r.complete = r.complete || o.record.complete && !o.record.readAt.Before(o.WokeAt())
	first := o.record.readAt.IsZero()
	if r.era > o.record.era {
		o.versions.forgetRecorded()
	}
	// The store may have lost further writes during the read.
	r.outdated = o.record.outdated
	o.record = r
	for service, recorded := range r.services {
		for _, version := range recorded.versions {
			o.versions.addRecorded(o.Clock(), o.WokeAt(), Origin{Service: service, Version: version})
		}
		o.noteSeveral(service)
	}
	if first {
		_ = level.Info(o.Logger).Log("msg", "versions of services read", "services", len(r.services), "era", r.era,
			"marked_era", r.markedEra, "complete", r.complete)
	}
}

// RunRecord reads the table of versions once, and keeps it up to date in the way of this router's role, until the
// context ends.
func (o *Origins) RunRecord(ctx context.Context) {
	timer := time.NewTicker(recordInterval)
	defer timer.Stop()
	backoff := minRecordBackoff
	for ctx.Err() == nil {
		if err := o.stepRecord(ctx); err != nil {
			// Routers that start together must not read together.
			pause.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxRecordBackoff)
			continue
		}
		backoff = minRecordBackoff
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-o.versionsChanged:
		}
	}
}

// StoreRestored has the table of versions written again: the store has lost writes.
func (o *Origins) StoreRestored() {
	o.mu.Lock()
	o.record.outdated = true
	o.mu.Unlock()
	o.signalVersions()
}

// signalVersions wakes RunRecord.
func (o *Origins) signalVersions() {
	select {
	case o.versionsChanged <- struct{}{}:
	default:
		// RunRecord is due to run.
	}
}

// stepRecord reads the table if necessary, and writes what it lacks if that is this router's role.
func (o *Origins) stepRecord(ctx context.Context) error {
	if o.mustRead() {
		if err := o.readRecord(ctx); err != nil {
			return err
		}
	}
	role := o.Role()
	if role == OnlyReads || len(o.recordChanges()) == 0 {
		o.changesSince = time.Time{}
		return nil
	}
	if role == WritesLate && !o.changesAreLate() {
		return nil
	}
	if role == WritesLate {
		// Another router may have written them.
		if err := o.readRecord(ctx); err != nil {
			return err
		}
	}
	return o.writeRecord(ctx)
}

// changesAreLate reports whether the table has lacked changes for backupDelay. Only RunRecord calls it.
func (o *Origins) changesAreLate() bool {
	if o.changesSince.IsZero() {
		o.changesSince = o.Clock()
	}
	return o.Clock().Sub(o.changesSince) >= backupDelay
}

// mustRead reports whether the table has to be read: the store has lost writes, this router writes to the table, or
// does not know all versions yet.
func (o *Origins) mustRead() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.outdated || o.record.readAt.IsZero() && o.Role() != OnlyReads || !o.knowsAll()
}

// readRecord reads the table of versions.
func (o *Origins) readRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	startedAt := o.Clock()
	o.mu.Lock()
	outdated := o.record.outdated
	o.record.outdated = false
	o.mu.Unlock()
	page, err := o.Store.All(ctx, VersionTable)
	if err != nil {
		o.mu.Lock()
		o.record.outdated = o.record.outdated || outdated
		o.mu.Unlock()
		return err
	}
	r, err := decodeRecord(page, startedAt)
	if err != nil {
		_ = level.Error(o.Logger).Log("msg", "failed to decode the versions of services", "era", page.At.Era, "version", page.At.Version, "err", err)
		return err
	}
	o.applyRecord(r)
	return nil
}
