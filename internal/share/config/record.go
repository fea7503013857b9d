package config

import (
	"context"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/policy"
)

// Store contains the table operations that the configuration requires.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) error
	Get(ctx context.Context, name table.Name, key table.Key) (table.Row, error)
	Scan(ctx context.Context, r table.Range) ([]table.Row, error)
}

// Recorder writes changes to the store and reads them back.
type Recorder struct {
	store        Store
	keeper       *Keeper
	peerRevision func() ident.Revision
	clock        ident.Clock
}

// NewRecorder returns a recorder for the configuration held by a Keeper. peerRevision returns the
// highest revision reported by other routers.
func NewRecorder(store Store, keeper *Keeper, peerRevision func() ident.Revision, clock ident.Clock) *Recorder {
	return &Recorder{store: store, keeper: keeper, peerRevision: peerRevision, clock: clock}
}

// Proposal is a change requested by an operator.
type Proposal struct {
	ID       string
	Operator Operator
	Note     string
	// Base is the revision on which the operator based the change.
	Base      ident.Revision
	Documents []policy.Document
}

// Outcome is the result of a proposal.
type Outcome struct {
	Change Change
	// Theirs contains the documents that were changed after the proposal's base.
	Theirs   []policy.Document
	Head     ident.Revision
	Problems []policy.Problem
}

// maxRecordAttempts limits how often a change is retried after losing to a concurrent change of
// other documents.
const maxRecordAttempts = 8

// Record writes a change. If the response is lost after the write took effect, a call with the same
// ID returns the recorded change.
func (r *Recorder) Record(ctx context.Context, p Proposal) (Outcome, error) {
	const op = "config.Record"
	for range maxRecordAttempts {
		found, err := r.findRecorded(ctx, p.ID)
		if err != nil || found.Change.Revision != 0 {
			return found, err
		}
		out, err := r.tryRecord(ctx, p)
		switch table.KindOf(err) {
		case table.Conflict:
			continue
		case table.Unknown, table.Unavailable:
			return r.resolveLostCommit(ctx, p.ID, err)
		}
		return out, err
	}
	return Outcome{}, fault.Newf(op, Conflict, "other changes came first %d times", maxRecordAttempts)
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
	var at head
	if err := decode(row, &at); err != nil {
		return Outcome{}, err
	}
	row, err = r.store.Get(ctx, ChangeTable, revisionKey(at.Revision))
	if err != nil {
		return Outcome{}, fault.New(op, Unknown, err)
	}
	var change Change
	if err := decode(row, &change); err != nil {
		return Outcome{}, err
	}
	return Outcome{Change: change, Head: change.Revision}, nil
}

// resolveLostCommit determines whether a commit without a response took effect.
func (r *Recorder) resolveLostCommit(ctx context.Context, id string, cause error) (Outcome, error) {
	const op = "config.Record"
	out, err := r.findRecorded(ctx, id)
	switch {
	case err == nil && out.Change.Revision != 0:
		return out, nil
	case table.KindOf(cause) == table.Unavailable:
		return Outcome{}, fault.New(op, Unavailable, cause)
	default:
		// The lost commit may still be in transit, so a missing row does not prove that it had no
		// effect.
		return Outcome{}, fault.New(op, Unknown, cause)
	}
}

// storeState contains the store's current head and the stored versions of the documents in a
// proposal.
type storeState struct {
	head     table.Row
	revision ident.Revision
	rows     []table.Row
	before   []storedDocument
}

func (r *Recorder) readState(ctx context.Context, documents []policy.Document) (storeState, error) {
	const op = "config.Record"
	var s storeState
	row, revision, err := r.readHead(ctx)
	if err != nil {
		return s, err
	}
	s.head, s.revision = row, revision
	for _, d := range documents {
		row, err := r.store.Get(ctx, DocTable, docKey(d.ID))
		if err != nil && table.KindOf(err) != table.Missing {
			return s, fault.New(op, Unavailable, err)
		}
		var before storedDocument
		if row.Version > 0 {
			if err := decode(row, &before); err != nil {
				return s, err
			}
		}
		s.rows = append(s.rows, row)
		s.before = append(s.before, before)
	}
	return s, nil
}

func (r *Recorder) readHead(ctx context.Context) (table.Row, ident.Revision, error) {
	row, err := r.store.Get(ctx, HeadTable, headKey)
	if table.KindOf(err) == table.Missing {
		return table.Row{Era: row.Era}, 0, nil
	}
	if err != nil {
		return row, 0, fault.New("config.readHead", Unavailable, err)
	}
	var h head
	if err := decode(row, &h); err != nil {
		return row, 0, err
	}
	return row, h.Revision, nil
}

// tryRecord checks a proposal against the store's state and commits it.
func (r *Recorder) tryRecord(ctx context.Context, p Proposal) (Outcome, error) {
	const op = "config.Record"
	// This must be evaluated before the store is read: the head read afterwards is at least as
	// late, unless the store has lost changes.
	minRevision := max(r.keeper.InForce().Revision, r.peerRevision())
	s, err := r.readState(ctx, p.Documents)
	if err != nil {
		return Outcome{}, err
	}
	if s.revision < minRevision {
		return Outcome{}, fault.Newf(op, Behind, "store has %d, in force is %d", s.revision, minRevision)
	}
	if conflicting := changedSince(s.before, p.Base); len(conflicting) > 0 {
		return Outcome{Theirs: conflicting, Head: s.revision}, fault.New(op, Conflict, nil)
	}
	if problems, err := r.check(ctx, s.revision, p.Documents); err != nil || len(problems) > 0 {
		return Outcome{Problems: problems, Head: s.revision}, err
	}
	change := Change{
		Revision: s.revision + 1, ID: p.ID, Operator: p.Operator, At: r.clock().UTC(), Note: p.Note, Documents: p.Documents,
	}
	if err := r.store.Commit(ctx, transaction(s, change)); err != nil {
		return Outcome{}, err
	}
	return Outcome{Change: change, Head: change.Revision}, nil
}

// changedSince returns the documents that were changed after a revision.
func changedSince(before []storedDocument, base ident.Revision) []policy.Document {
	var conflicting []policy.Document
	for _, b := range before {
		if b.Revision > base {
			conflicting = append(conflicting, b.Document)
		}
	}
	return conflicting
}

// check compiles the configuration that would result from a change to the store's head.
func (r *Recorder) check(ctx context.Context, revision ident.Revision, documents []policy.Document) ([]policy.Problem, error) {
	current := r.keeper.Documents()
	if current.Revision != revision {
		changes, err := r.Changes(ctx, current.Revision)
		if err != nil {
			return nil, err
		}
		current = apply(current, changes)
	}
	next := apply(current, []Change{{Revision: revision + 1, Documents: documents}})
	_, problems := policy.Compile(next.Documents)
	return problems, nil
}

// Check compiles the configuration in force with the given documents applied and returns the
// problems found.
func (r *Recorder) Check(documents []policy.Document) []policy.Problem {
	_, problems := r.Candidate(documents)
	return problems
}

// Candidate returns the configuration in force with the given documents applied.
func (r *Recorder) Candidate(documents []policy.Document) (*policy.Set, []policy.Problem) {
	current := r.keeper.Documents()
	return policy.Compile(apply(current, []Change{{Revision: current.Revision + 1, Documents: documents}}).Documents)
}

func apply(s Snapshot, changes []Change) Snapshot {
	documents := map[policy.ID]policy.Document{}
	merge(documents, s.Documents)
	for _, c := range changes {
		if c.Revision <= s.Revision {
			continue
		}
		merge(documents, c.Documents)
		s.Revision = c.Revision
	}
	return Snapshot{Revision: s.Revision, Documents: sorted(documents)}
}

// transaction returns the writes of a change, conditional on the rows it is based on being
// unchanged.
func transaction(s storeState, c Change) table.Txn {
	txn := table.Txn{
		Checks: []table.Check{
			{Table: HeadTable, Key: headKey, Version: s.head.Version},
			{Table: IDTable, Key: table.Key(c.ID)},
			{Table: ChangeTable, Key: revisionKey(c.Revision)},
		},
		Puts: []table.Put{
			{Table: HeadTable, Key: headKey, Value: encode(head{Revision: c.Revision})},
			{Table: IDTable, Key: table.Key(c.ID), Value: encode(head{Revision: c.Revision})},
			{Table: ChangeTable, Key: revisionKey(c.Revision), Value: encode(c)},
		},
	}
	for i, d := range c.Documents {
		txn.Checks = append(txn.Checks, table.Check{Table: DocTable, Key: docKey(d.ID), Version: s.rows[i].Version})
		txn.Puts = append(txn.Puts,
			table.Put{Table: DocTable, Key: docKey(d.ID), Value: encode(storedDocument{Document: d, Revision: c.Revision})},
			table.Put{Table: AuditTable, Key: auditKey(c.Revision, i), Value: encode(AuditRow{
				Revision: c.Revision, Operator: c.Operator, At: c.At, Document: d.ID,
				Before: s.before[i].Document.Text, After: d.Text, Note: c.Note,
			})})
	}
	return txn
}

// maxScanRows limits the number of rows in one scan of the store.
const maxScanRows = 500

// Changes returns the recorded changes after a revision.
func (r *Recorder) Changes(ctx context.Context, after ident.Revision) ([]Change, error) {
	rows, err := r.store.Scan(ctx, table.Range{Table: ChangeTable, From: revisionKey(after + 1), Limit: maxScanRows})
	if err != nil {
		return nil, fault.New("config.Changes", Unavailable, err)
	}
	out := make([]Change, 0, len(rows))
	for _, row := range rows {
		var c Change
		if err := decode(row, &c); err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
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
	out := make([]AuditRow, 0, len(rows))
	for _, row := range rows {
		var a AuditRow
		if err := decode(row, &a); err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}
