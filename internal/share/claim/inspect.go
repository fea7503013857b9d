package claim

import (
	"context"
	"encoding/json"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// AuditTable is the name of the table that records claims released by operators.
const AuditTable table.Name = "claim_audit"

// ManualRelease is a row of the audit table.
type ManualRelease struct {
	Operator  string          `json:"operator"`
	At        time.Time       `json:"at"`
	Workspace ident.Workspace `json:"workspace"`
	Key       string          `json:"key"`
	Before    Record          `json:"before"`
	Note      string          `json:"note"`
}

// Inspect returns the claim on a key. The Record has an empty State if there is no claim.
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

// ForceRelease releases a claim that no process holds any more, and writes an audit row in the same
// transaction. The system cannot verify that nobody holds the claim; the operator is responsible
// for that.
func ForceRelease(ctx context.Context, store Store, key Key, release ManualRelease) (Record, error) {
	const op = "claim.GiveBack"
	record, version, err := Inspect(ctx, store, key)
	if err != nil {
		return record, err
	}
	if record.State != Sent {
		return record, fault.Newf(op, Running, "the claim is %q, not %q", record.State, Sent)
	}
	release.Before = record
	audit, err := json.Marshal(release)
	if err != nil {
		return record, fault.New(op, Damaged, err)
	}
	record.State = Released
	txn := table.Txn{
		Checks: []table.Check{{Table: Table, Key: key.row(), Version: version}},
		Puts: []table.Put{
			{Table: Table, Key: key.row(), Value: encode(record)},
			{Table: AuditTable, Key: table.Key(release.At.UTC().Format(time.RFC3339Nano)) + "/" + key.row(), Value: audit},
		},
	}
	if err := store.Commit(ctx, txn); err != nil {
		return record, fault.New(op, Unavailable, err)
	}
	return record, nil
}
