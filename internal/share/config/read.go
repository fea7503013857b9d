package config

import (
	"context"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/policy"
)

// maxScanRows limits the number of rows in one scan of the store.
const maxScanRows = 500

// Changes returns the recorded changes after a revision.
func (r *Recorder) Changes(ctx context.Context, after ident.Revision) ([]Change, error) {
	rows, err := r.store.Scan(ctx, table.Range{Table: ChangeTable, From: revisionKey(after + 1), Limit: maxScanRows})
	if err != nil {
		return nil, fault.New("config.Changes", Unavailable, err)
	}
	return decodeAll[Change](rows)
}

// Audit returns audit rows of revisions before the given one, the latest first. Zero starts at the
// latest revision.
func (r *Recorder) Audit(ctx context.Context, before ident.Revision, limit int) ([]AuditRow, error) {
	from := table.Key("")
	if before > 0 {
		from = auditKey(before-1, 0)
	}
	rows, err := r.store.Scan(ctx, table.Range{Table: AuditTable, From: from, Limit: min(max(limit, 1), maxScanRows)})
	if err != nil {
		return nil, fault.New("config.Audit", Unavailable, err)
	}
	return decodeAll[AuditRow](rows)
}

// findRecorded returns the recorded change with an ID, or an empty Outcome if there is none.
func (r *Recorder) findRecorded(ctx context.Context, id string) (Outcome, error) {
	const op = "config.recorded"
	row, err := r.store.Get(ctx, IDTable, table.Key(id))
	if table.KindOf(err) == table.Missing {
		return Outcome{}, nil
	}
	if err != nil {
		return Outcome{}, fault.New(op, Unavailable, err)
	}
	at, err := decode[head](row)
	if err != nil {
		return Outcome{}, err
	}
	row, err = r.store.Get(ctx, ChangeTable, revisionKey(at.Revision))
	if err != nil {
		return Outcome{}, fault.New(op, Unknown, err)
	}
	change, err := decode[Change](row)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{Change: change, Head: change.Revision}, nil
}

// storeState is the state of the store that a change is based on.
type storeState struct {
	head     table.Row
	revision ident.Revision
	// documents contains the documents of the change as the store has them, in the same order.
	documents []documentState
}

// documentState is a document in the store. Both fields are zero if the store does not have it.
type documentState struct {
	version table.Version
	stored  storedDocument
}

// readState reads the head and the documents of a change.
func (r *Recorder) readState(ctx context.Context, documents []policy.Document) (storeState, error) {
	var s storeState
	row, revision, err := r.readHead(ctx)
	if err != nil {
		return s, err
	}
	s.head, s.revision = row, revision
	for _, d := range documents {
		document, err := r.readDocument(ctx, d.ID)
		if err != nil {
			return s, err
		}
		s.documents = append(s.documents, document)
	}
	return s, nil
}

// readDocument reads a document.
func (r *Recorder) readDocument(ctx context.Context, id policy.ID) (documentState, error) {
	row, err := r.store.Get(ctx, DocTable, docKey(id))
	if err != nil && table.KindOf(err) != table.Missing {
		return documentState{}, fault.New("config.Record", Unavailable, err)
	}
	if row.Version == 0 {
		return documentState{}, nil
	}
	stored, err := decode[storedDocument](row)
	return documentState{version: row.Version, stored: stored}, err
}

// readHead reads the row of the head, and its revision. Both are zero but for the row's era if there
// is none.
func (r *Recorder) readHead(ctx context.Context) (table.Row, ident.Revision, error) {
	row, err := r.store.Get(ctx, HeadTable, headKey)
	if table.KindOf(err) == table.Missing {
		return table.Row{Era: row.Era}, 0, nil
	}
	if err != nil {
		return row, 0, fault.New("config.readHead", Unavailable, err)
	}
	h, err := decode[head](row)
	return row, h.Revision, err
}
