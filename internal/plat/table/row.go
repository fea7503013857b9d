package table

import "time"

// Name is the name of a table.
type Name string

// Key is the key of a row within its table; rows are ordered by key.
type Key string

// Version counts the writes to a row within an era; zero means that the row does not exist.
type Version int64

// AnyVersion in a check matches every version of the row, including that of a missing row.
const AnyVersion Version = -1

// Row is a row as read from the service.
type Row struct {
	Table   Name    `json:"table"`
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Deleted is set only in row changes, for a row that was deleted.
	Deleted bool `json:"deleted,omitempty"`
	// Era is the era of the response that contained the row.
	Era Era `json:"-"`
}

// Position returns the position of the row's latest write. Its era is that of the response, since
// rows contain none.
func (r Row) Position() Position { return Position{Era: r.Era, Version: r.Version} }

// Page is a full snapshot of a table or a delta.
type Page struct {
	Rows []Row
	// At is the store's position up to which the page contains all changes.
	At Position
	// Full is set for a full snapshot; otherwise the page contains only the changed rows.
	Full bool
	// Age is the time since the store confirmed that there was no later change.
	Age time.Duration
	// Kept contains rows that are never rolled back and are newer than those of the requesting
	// router, whatever the store contains now.
	Kept []Row
}

// Check is the condition that a row has a version at the time of the commit.
type Check struct {
	Table   Name    `json:"table"`
	Key     Key     `json:"key"`
	Version Version `json:"version"`
}

// Put is the write or the deletion of a row.
type Put struct {
	Table  Name   `json:"table"`
	Key    Key    `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction, which is applied atomically.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts"`
}

// Range selects at most Limit rows of a table, in key order beginning with the key From.
type Range struct {
	Table Name `json:"table"`
	From  Key  `json:"from"`
	Limit int  `json:"limit"`
}

// Replace returns a transaction that writes a row on the condition that its version is unchanged.
func Replace(row Row, value []byte) Txn {
	return Txn{
		Checks: []Check{{Table: row.Table, Key: row.Key, Version: row.Version}},
		Puts:   []Put{{Table: row.Table, Key: row.Key, Value: value}},
	}
}
