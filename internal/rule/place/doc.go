// Package place decides which engine takes a request.
//
// A pool's engines are split into shards by a hash, and each shard has one home
// among the live routers of its region. The home counts the shard's work exactly
// by permits, remembers where each chat ran last, and admits a request to an
// engine only while the engine's load stays below a set multiple of the pool's
// mean. The mean travels between homes in digests. Two routers that both believe
// to be home each publish what they admitted and add what the other published.
//
// The package does no input or output, starts no goroutine and is told the time.
package place
