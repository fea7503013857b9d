package home

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
)

// Result is the outcome of a permit request.
type Result int

const (
	// Placed means that the request holds a permit.
	Placed Result = iota + 1
	// Full means that the shard has no room; another shard may have some.
	Full
	// Empty means that the shard has no usable engine.
	Empty
	// Shed means that the request is rejected because the shard is overloaded. If the edge had no
	// other shard to try, the response contains a Retry-After delay.
	Shed
	// TimedOut means that no engine became free within the time that the request could wait.
	TimedOut
	// Moved means that another router is the home of the shard now.
	Moved
)

// PermitRequest is a permit request.
type PermitRequest struct {
	place.Request
	Shard     place.ShardID
	Workspace ident.Workspace
	Weight    int
	Priority  int
	// Wait is how much longer the request can wait.
	Wait time.Duration
	// ShardLoads are the loads of other shards as last received by the edge router.
	ShardLoads []place.ShardLoad
	// Failed are the engines of the shard that have failed requests of the edge router since its
	// previous permit request, one entry per failed request.
	Failed []ident.TargetHash
	// Silent are those of Failed that were only silent. Answered are the engines of the shard that were silent and have
	// answered the edge router since its previous permit request.
	Silent, Answered []ident.TargetHash
	// Backoffs are the engines of the shard that have requested a backoff from the edge router
	// since its previous permit request.
	Backoffs []place.Backoff
	// Paces are what the edge router learned about the engines of the shard since its previous
	// permit request.
	Paces []pace.Report
}

// waitsForBound reports whether the request waits if its engines are at the load bound. Of a few engines of one
// version, all may be; others that would be below it cannot run the request.
func (r *PermitRequest) waitsForBound() bool { return r.Version != "" && r.MustPlace && r.Wait > 0 }

// PermitResponse is the response to a permit request.
type PermitResponse struct {
	Result Result
	Engine ident.TargetHash
	Warm   bool
	// Holder is another engine that has the prompt prefix of the chat cached, zero if none is
	// recorded.
	Holder     ident.TargetHash
	RetryAfter time.Duration
	// Held is the number of permits that the home counts for the edge router.
	Held int
	// Work is the load of the shard after this response. ShardLoads are the loads of some
	// other shards.
	Work       ident.Work
	ShardLoads []place.ShardLoad
	// Basis is the rule and the loads that decided a placement.
	Basis place.Basis
}
