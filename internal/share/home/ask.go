package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// Result is what a home answers to a request for a permit.
type Result int

const (
	// Placed means that the request holds a permit.
	Placed Result = iota + 1
	// Full means that another shard may have room.
	Full
	// Empty means that the shard has no usable engine.
	Empty
	// Shed means that the request is given up; the caller is told when to come back.
	Shed
	// TimedOut means that no engine became free while the request could wait.
	TimedOut
	// Moved means that another router is home now.
	Moved
)

// Ask is one request for a permit.
type Ask struct {
	place.Request
	Shard     place.ShardID
	Workspace ident.Workspace
	Weight    int
	Priority  int
	// Wait is how much longer the request can wait.
	Wait time.Duration
	// Sums are other shards' work as the edge heard it.
	Sums []place.Sum
	// Failed are the shard's engines that have failed requests of the edge since it asked
	// last, once for each request.
	Failed []ident.TargetHash
	// Backoffs are the shard's engines that want no requests from the edge, as they told it since it asked last.
	Backoffs []place.Backoff
}

// Answer is what a home says.
type Answer struct {
	Result Result
	Engine ident.TargetHash
	Warm   bool
	// Holder is another engine that has the chat's prefix, zero if none is known.
	Holder     ident.TargetHash
	RetryAfter time.Duration
	// Held is the number of permits that the home believes the edge to hold.
	Held int
	// Work is the shard's work after this answer, Sums some other shards'.
	Work ident.Work
	Sums []place.Sum
	// Basis is what a placement was decided from.
	Basis place.Basis
}
