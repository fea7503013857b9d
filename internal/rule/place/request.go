package place

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// Result is the outcome of a permit request.
type Result int

const (
	// Placed means that the request holds a permit.
	Placed Result = iota + 1
	// Full means that every engine of the shard is at the bound. Another shard may have room.
	Full
	// Busy means that every engine runs as much work as it can.
	Busy
	// Empty means that the shard has no usable engine.
	Empty
)

// mergeRejection returns the outcome for a shard with a further engine that does not admit the
// request: Full if any engine is at the bound, because only then another shard may have room. An
// engine that is not usable does not change the outcome.
func mergeRejection(outcome, found Result) Result {
	if outcome == Full || found == Empty {
		return outcome
	}
	return found
}

// Request is a permit request to a home.
type Request struct {
	Edge   ident.Router
	Permit uint64
	Key    ident.ChatKey
	Work   ident.Work
	Zone   ident.Zone
	// MustPlace is set when all other shards are full. The result Full then means that only engines
	// that the request avoids have room.
	MustPlace bool
	// Over allows engines without a free slot, up to twice their slots: counts may be too high for
	// some time after a shard got another home, and engines queue a few requests themselves.
	Over bool
	// Avoid lists engines that have just failed this request or fail many requests.
	Avoid []ident.TargetHash
	// Version is the only version whose engines may run the request, or empty.
	Version ident.Version
	// Lost lists unreachable engines, from which no cache can be copied.
	Lost []ident.TargetHash
	// Last is the last engine to which the edge router sent the key, or zero if unknown. A new
	// home, or a home of a pool whose number of shards changed, has no place of the key.
	Last ident.TargetHash
	// Once means that no other request has this key, so that its place is not stored.
	Once bool
	// Parent identifies the part of the prompt before the one that the key stands for, or is zero.
	// Many chats share it.
	Parent ident.ChatKey
	// Effort is the time that the request usually takes. Due is the time left until the first byte
	// of the answer is due, or zero.
	Effort pace.Effort
	Due    time.Duration
}

// accepts reports whether the request may run on an engine, as far as that depends on the request.
func (r *Request) accepts(e *Engine) bool {
	return (r.Version == "" || r.Version == e.Version) && !slices.Contains(r.Avoid, e.Hash)
}

// Decision is the result of a Request.
type Decision struct {
	Result Result
	Engine ident.TargetHash
	// Warm means that the chat ran on this incarnation of the engine before.
	Warm bool
	// Holder is the last engine of the chat if that is another engine, zero if there is none. The
	// cached prompt prefix can be copied from it.
	Holder ident.TargetHash
	// Basis holds the inputs of the decision.
	Basis Basis
}

// finalShard reports whether no other shard is tried after this one. Such a request keeps within
// the bound like any other, but the bound may be based on the mean of this shard, and the slow
// start of joined engines does not apply.
func (r *Request) finalShard() bool { return r.MustPlace || r.Over }
