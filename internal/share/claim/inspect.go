package claim

import (
	"context"
	"encoding/json"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// AuditTable is the name of the table of claims that operators gave back.
const AuditTable table.Name = "claim_audit"

// GivenBack is one row of that table.
type GivenBack struct {
	Operator  string          `json:"operator"`
	At        time.Time       `json:"at"`
	Workspace ident.Workspace `json:"workspace"`
	Key       string          `json:"key"`
	Before    Record          `json:"before"`
	Note      string          `json:"note"`
}

// Inspect returns the claim on a key; a Record without a state means that there is none.
func Inspect(ctx context.Context, store Store, key Key) (Record, table.Version, error) {
	row, err := store.Get(ctx, Table, key.row())
	if table.KindOf(err) == table.Missing {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, fault.New("claim.Inspect", Unavailable, err)
	}
	record, err := decode(row)
	return record, row.Version, err
}

// GiveBack releases a claim that is held by nobody any more, with an audit row in
// the same transaction. Nothing in the system can know that; the operator must.
func GiveBack(ctx context.Context, store Store, key Key, who GivenBack) (Record, error) {
	const op = "claim.GiveBack"
	record, version, err := Inspect(ctx, store, key)
	if err != nil {
		return record, err
	}
	if record.State != Sent {
		return record, fault.Newf(op, Running, "the claim is %q, not %q", record.State, Sent)
	}
	who.Before = record
	audit, err := json.Marshal(who)
	if err != nil {
		return record, fault.New(op, Damaged, err)
	}
	record.State = Released
	txn := table.Txn{
		Checks: []table.Check{{Table: Table, Key: key.row(), Version: version}},
		Puts: []table.Put{
			{Table: Table, Key: key.row(), Value: encode(record)},
			{Table: AuditTable, Key: table.Key(who.At.UTC().Format(time.RFC3339Nano)) + "/" + key.row(), Value: audit},
		},
	}
	if err := store.Commit(ctx, txn); err != nil {
		return record, fault.New(op, Unavailable, err)
	}
	return record, nil
}
