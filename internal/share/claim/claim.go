package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Unavailable means that no claim could be made. The request did not run.
	Unavailable Kind = "unavailable"
	// Restored means that the store was restored from an older snapshot and may lack claims for up
	// to RestoreDelay. The request did not run.
	Restored Kind = "restored"
	// Running means that another attempt holds the claim and may have run.
	Running Kind = "running"
	// Mismatch means that the key was used before with a different body.
	Mismatch Kind = "mismatch"
	// Damaged means that a row or a stored answer cannot be decoded.
	Damaged Kind = "damaged"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Table is the name of the table of claims.
const Table table.Name = "claim"

// Key identifies a request by the name that the caller gives it within its workspace.
type Key struct {
	Workspace ident.Workspace
	Name      string
}

// row returns the key of the claim's row. The caller's name is hashed to allow any length and
// any characters.
func (k Key) row() table.Key {
	sum := sha256.Sum256([]byte(k.Name))
	return table.Key(string(k.Workspace) + "/" + hex.EncodeToString(sum[:]))
}

// BodyHash identifies a request's method, path and body.
type BodyHash string

// HashBody hashes the parts of a request that must not change when a key is reused.
func HashBody(method, path string, body []byte) BodyHash {
	h := ident.HashRequest(method, path, body)
	return BodyHash(hex.EncodeToString(h[:]))
}

// Answer is a complete target response as it is stored and replayed.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// State is the stage that a claim has reached.
type State string

const (
	// Sent marks a claim that is held: the request may have run.
	Sent State = "sent"
	// Done marks a claim with a recorded answer.
	Done State = "done"
	// Released marks a claim that was released before anything was sent.
	Released State = "released"
)

// Record is the value of a claim's row.
type Record struct {
	State    State         `json:"state"`
	Attempt  ident.Attempt `json:"attempt"`
	BodyHash BodyHash      `json:"body_hash"`
	// UnixMS is when a router recorded the state; a release by an operator does not change it.
	UnixMS int64   `json:"unix_ms"`
	Answer *Answer `json:"answer,omitempty"`
	// Object is the name of the stored answer if it is too large for the row.
	Object string `json:"object,omitempty"`
}

// Ticket represents a held claim.
type Ticket struct {
	Key     Key
	Attempt ident.Attempt
	// Version is the row's version. The fencing token combines it with the era in which the claim
	// was made.
	Version table.Version
	era     table.Era
	hash    BodyHash
}

// Fence returns the fencing token. It is sent with the request to targets that check such tokens.
func (t *Ticket) Fence() ident.Epoch { return table.Position{Era: t.era, Version: t.Version}.Fence() }

// NewAttempt returns a random attempt ID.
func NewAttempt() ident.Attempt {
	var raw [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw[:])
	return ident.Attempt(hex.EncodeToString(raw[:]))
}

// Store contains the table operations that claims require.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) error
	Get(ctx context.Context, name table.Name, key table.Key) (table.Row, error)
}

// EraStore is a store that reports its era.
type EraStore interface {
	Store
	// CurrentEra returns the latest era reported by the store.
	CurrentEra() table.Era
	// OnChange registers a callback, which must not block. It is called with the first era that is
	// observed, and with the new and the previous era when the store was restored from an older
	// snapshot.
	OnChange(changed func(era, previous table.Era))
}

// Objects stores answers that are too large for a row.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

func encode(r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Record contains only types that JSON can represent.
		panic(err)
	}
	return data
}

func decode(row table.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, fault.New("claim.decode", Damaged, err)
	}
	return r, nil
}
