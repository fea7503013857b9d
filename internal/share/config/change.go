package config

import (
	"encoding/json"
	"fmt"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/policy"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Conflict means that a document was changed since the operator read it.
	Conflict Kind = "conflict"
	// Invalid means that the documents do not compile.
	Invalid Kind = "invalid"
	// Unavailable means that the store does not respond. Nothing was recorded.
	Unavailable Kind = "unavailable"
	// Unknown means that the change may have been recorded. The caller should retry with the same
	// change ID.
	Unknown Kind = "unknown"
	// Behind means that the store has a lower revision than a router has in force.
	Behind Kind = "behind"
	// Damaged means that a row cannot be decoded.
	Damaged Kind = "damaged"
	// Gap means that changes are missing between the revision in force and those offered.
	Gap Kind = "gap"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// The tables of the configuration.
const (
	HeadTable   table.Name = "config_head"
	ChangeTable table.Name = "config_change"
	DocTable    table.Name = "config_document"
	AuditTable  table.Name = "config_audit"
	// IDTable maps change IDs to revisions, so that the outcome of a commit with a lost response
	// can be determined.
	IDTable table.Name = "config_change_id"
)

// headKey is the key of the only row in HeadTable.
const headKey table.Key = "head"

// Operator is the name of the operator who made a change.
type Operator string

// Change is a recorded revision.
type Change struct {
	Revision  ident.Revision    `json:"revision"`
	ID        string            `json:"change_id"`
	Operator  Operator          `json:"operator"`
	At        time.Time         `json:"at"`
	Note      string            `json:"note,omitempty"`
	Documents []policy.Document `json:"documents"`
}

// AuditRow records the change of one document by an operator.
type AuditRow struct {
	Revision ident.Revision `json:"revision"`
	Operator Operator       `json:"operator"`
	At       time.Time      `json:"at"`
	Document policy.ID      `json:"document"`
	Before   string         `json:"before"`
	After    string         `json:"after"`
	Note     string         `json:"note,omitempty"`
}

// Snapshot is the full configuration at a revision.
type Snapshot struct {
	Revision  ident.Revision
	Documents []policy.Document
}

// head is the value of the head row. Rows of IDTable have the same form.
type head struct {
	Revision ident.Revision `json:"revision"`
}

// storedDocument is the value of a document's row.
type storedDocument struct {
	Document policy.Document `json:"document"`
	Revision ident.Revision  `json:"revision"`
}

// revisionKey returns a key that sorts rows by revision.
func revisionKey(r ident.Revision) table.Key { return table.Key(fmt.Sprintf("%020d", r)) }

// auditKey returns a key that sorts audit rows with the latest first.
func auditKey(r ident.Revision, n int) table.Key {
	return table.Key(fmt.Sprintf("%020d/%04d", ^uint64(0)-uint64(r), n))
}

func docKey(id policy.ID) table.Key { return table.Key(id.String()) }

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// The row types contain only types that JSON can represent.
		panic(err)
	}
	return data
}

// decode returns the value of a row.
func decode[T any](row table.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fault.Newf("config.decode", Damaged, "%s/%s: %v", row.Table, row.Key, err)
	}
	return value, nil
}

// decodeAll returns the values of rows.
func decodeAll[T any](rows []table.Row) ([]T, error) {
	out := make([]T, 0, len(rows))
	for _, row := range rows {
		value, err := decode[T](row)
		if err != nil {
			return nil, err
		}
		out = append(out, value)
	}
	return out, nil
}
