package claim

import (
	"context"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Retention defines how long claims are retained by state. A key that is reused after that runs
// again.
type Retention struct {
	// Ended applies to claims with an answer and to released claims.
	Ended time.Duration
	// Sent applies to claims whose outcome is unknown.
	Sent time.Duration
}

// DefaultRetention exceeds the time during which callers can be expected to retry.
var DefaultRetention = Retention{Ended: 7 * 24 * time.Hour, Sent: 30 * 24 * time.Hour}

// ScanStore contains the table operations that a sweep requires.
type ScanStore interface {
	Store
	Scan(ctx context.Context, r table.Range) ([]table.Row, error)
}

// Sweeper removes expired claims, one page at a time.
type Sweeper struct {
	rows      ScanStore
	retention Retention
	clock     ident.Clock
	next      table.Key
}

// sweepPageRows is the number of rows that one call of SweepPage reads.
const sweepPageRows = 200

// NewSweeper returns a sweeper that starts at the first row.
func NewSweeper(rows ScanStore, retention Retention, clock ident.Clock) *Sweeper {
	return &Sweeper{rows: rows, retention: retention, clock: clock}
}

// SweepPage scans one page and returns the number of claims removed.
func (s *Sweeper) SweepPage(ctx context.Context) (int, error) {
	rows, err := s.rows.Scan(ctx, table.Range{Table: Table, From: s.next, Limit: sweepPageRows})
	if err != nil {
		return 0, fault.New("claim.Sweep", Unavailable, err)
	}
	s.next = ""
	if len(rows) == sweepPageRows {
		s.next = rows[len(rows)-1].Key
	}
	removed := 0
	for _, row := range rows {
		record, err := decode(row)
		if err != nil || !s.expired(record) {
			continue
		}
		// The check prevents the deletion of a claim that was retaken since the scan.
		err = s.rows.Commit(ctx, table.Txn{
			Checks: []table.Check{{Table: Table, Key: row.Key, Version: row.Version}},
			Puts:   []table.Put{{Table: Table, Key: row.Key, Delete: true}},
		})
		if err == nil {
			removed++
		}
	}
	return removed, nil
}

func (s *Sweeper) expired(r Record) bool {
	retention := s.retention.Ended
	if r.State == Sent {
		retention = s.retention.Sent
	}
	return s.clock().Sub(time.UnixMilli(r.UnixMS)) > retention
}
