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
	if conflicting := changedSince(s.documents, p.Base); len(conflicting) > 0 {
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
func changedSince(documents []documentState, base ident.Revision) []policy.Document {
	var conflicting []policy.Document
	for _, d := range documents {
		if d.stored.Revision > base {
			conflicting = append(conflicting, d.stored.Document)
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
		before := s.documents[i]
		txn.Checks = append(txn.Checks, table.Check{Table: DocTable, Key: docKey(d.ID), Version: before.version})
		txn.Puts = append(txn.Puts,
			table.Put{Table: DocTable, Key: docKey(d.ID), Value: encode(storedDocument{Document: d, Revision: c.Revision})},
			table.Put{Table: AuditTable, Key: auditKey(c.Revision, i), Value: encode(AuditRow{
				Revision: c.Revision, Operator: c.Operator, At: c.At, Document: d.ID,
				Before: before.stored.Document.Text, After: d.Text, Note: c.Note,
			})})
	}
	return txn
}
