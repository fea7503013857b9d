package entry

import (
	"net/http"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
)

// RequestID is the caller's id of one request.
type RequestID string

// EventID is the id of an event of a stream.
type EventID string

// Part is one part of a prompt that several requests may share.
type Part struct {
	ID string
}

// Call is what a caller's headers say of a request.
type Call struct {
	ID RequestID
	// Wait is how long the caller waits for the end of the answer; zero is unknown.
	Wait time.Duration
	// Key is the caller's API key.
	Key string
	// Parts are the prompt's parts in order; the last one is the request's own.
	Parts []Part
}

// Order is what a target is told beside the caller's request.
type Order struct {
	// Left is how long the target may work.
	Left time.Duration
	// Target is who is to run the request; whoever else has its address must refuse.
	Target    ident.Target
	Workspace ident.Workspace
	// Holder is the address of another engine that has the prompt's shared parts cached, or empty.
	Holder string
	// After is the last event that the caller has, when a stream goes on at another target.
	After EventID
}

// Reply is what a target's headers say of its answer.
type Reply struct {
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Elsewhere says that another target has the address now.
	Elsewhere bool
	// Leaving says that whoever has answered is leaving and is to get no new work.
	Leaving bool
}

// Dialect reads and writes the headers of the protocol that callers and targets speak.
type Dialect interface {
	// Read returns what a caller's headers say.
	Read(h http.Header) Call
	// Write changes a copy of the caller's headers into what a target gets.
	Write(h http.Header, call Call, o Order)
	// Owns reports whether an answer with these headers belongs to the call.
	Owns(h http.Header, call Call) bool
	// Reply returns what a target's status and headers say.
	Reply(status int, h http.Header) Reply
}

// Rules gives the configuration in force.
type Rules interface {
	// Table returns the configuration, or nil while none is known.
	Table() *match.Table
	// Fresh reports whether the configuration was confirmed a moment ago, so that what
	// it lacks does not exist.
	Fresh() bool
	// IdleConns is how many idle connections this router may keep to a target of a service;
	// zero sets no limit.
	IdleConns(service ident.Service) int
}
