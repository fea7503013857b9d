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

// Kind tells this package's errors apart.
type Kind string

const (
	// Conflict means that a document was changed since the operator read it.
	Conflict Kind = "conflict"
	// Invalid means that the documents do not compile.
	Invalid Kind = "invalid"
	// Unavailable means that the store does not answer; nothing was recorded.
	Unavailable Kind = "unavailable"
	// Unknown means that the change may have been recorded; ask again with the same change id.
	Unknown Kind = "unknown"
	// Behind means that the store knows less than this router has in force.
	Behind Kind = "behind"
	// Damaged means that a row cannot be read.
	Damaged Kind = "damaged"
	// Gap means that changes between the one in force and the one offered are missing.
	Gap Kind = "gap"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// The tables of the configuration.
const (
	HeadTable   table.Name = "config_head"
	ChangeTable table.Name = "config_change"
	DocTable    table.Name = "config_document"
	AuditTable  table.Name = "config_audit"
	// IDTable maps change ids to revisions, so that a lost answer can be settled.
	IDTable table.Name = "config_change_id"
)

// headKey is the key of the only row of the head's table.
const headKey table.Key = "head"

// Operator is the name of who made a change.
type Operator string

// Change is one recorded revision.
type Change struct {
	Revision  ident.Revision    `json:"revision"`
	ID        string            `json:"change_id"`
	Operator  Operator          `json:"operator"`
	At        time.Time         `json:"at"`
	Note      string            `json:"note,omitempty"`
	Documents []policy.Document `json:"documents"`
}

// AuditRow is who changed one document from what to what.
type AuditRow struct {
	Revision ident.Revision `json:"revision"`
	Operator Operator       `json:"operator"`
	At       time.Time      `json:"at"`
	Document policy.ID      `json:"document"`
	Before   string         `json:"before"`
	After    string         `json:"after"`
	Note     string         `json:"note,omitempty"`
}

// Snapshot is a whole configuration at a revision.
type Snapshot struct {
	Revision  ident.Revision
	Documents []policy.Document
}

// head is the value of the head's row.
type head struct {
	Revision ident.Revision `json:"revision"`
}

// stored is the value of a document's row.
type stored struct {
	Document policy.Document `json:"document"`
	Revision ident.Revision  `json:"revision"`
}

// revisionKey orders rows by revision.
func revisionKey(r ident.Revision) table.Key { return table.Key(fmt.Sprintf("%020d", r)) }

// auditKey orders audit rows with the latest first.
func auditKey(r ident.Revision, n int) table.Key {
	return table.Key(fmt.Sprintf("%020d/%04d", ^uint64(0)-uint64(r), n))
}

func docKey(id policy.ID) table.Key { return table.Key(id.String()) }

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// The row types have nothing that JSON cannot hold.
		panic(err)
	}
	return data
}

func decode(row table.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fault.Newf("config.decode", Damaged, "%s/%s: %v", row.Table, row.Key, err)
	}
	return nil
}
