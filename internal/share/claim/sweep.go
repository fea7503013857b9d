package claim

import (
	"context"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Keep is how long claims are kept, by state. A key that is used again later runs again.
type Keep struct {
	// Ended is for claims with an answer and for those given back.
	Ended time.Duration
	// Sent is for claims whose outcome nobody knows.
	Sent time.Duration
}

// DefaultKeep is longer than callers may be expected to ask again.
var DefaultKeep = Keep{Ended: 7 * 24 * time.Hour, Sent: 30 * 24 * time.Hour}

// Rows is what sweeping needs of the table service.
type Rows interface {
	Store
	Scan(ctx context.Context, r table.Range) ([]table.Row, error)
}

// Sweeper removes old claims, a page at a time.
type Sweeper struct {
	rows  Rows
	keep  Keep
	clock ident.Clock
	next  table.Key
}

// sweepPage is how many rows one step looks at.
const sweepPage = 200

// NewSweeper returns a sweeper that starts at the first row.
func NewSweeper(rows Rows, keep Keep, clock ident.Clock) *Sweeper {
	return &Sweeper{rows: rows, keep: keep, clock: clock}
}

// Step looks at one page and returns how many claims it removed.
func (s *Sweeper) Step(ctx context.Context) (int, error) {
	rows, err := s.rows.Scan(ctx, table.Range{Table: Table, From: s.next, Limit: sweepPage})
	if err != nil {
		return 0, fault.New("claim.Sweep", Unavailable, err)
	}
	s.next = ""
	if len(rows) == sweepPage {
		s.next = rows[len(rows)-1].Key
	}
	removed := 0
	for _, row := range rows {
		record, err := decode(row)
		if err != nil || !s.old(record) {
			continue
		}
		// The check keeps a claim that was made anew meanwhile.
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

func (s *Sweeper) old(r Record) bool {
	keep := s.keep.Ended
	if r.State == Sent {
		keep = s.keep.Sent
	}
	return s.clock().Sub(time.UnixMilli(r.UnixMS)) > keep
}
