// Package place decides which engine serves a request.
//
// A pool's engines are divided into shards by a hash, and each shard has one home among the live
// routers of its region. The home counts the shard's work exactly by permits, stores which engines
// served each chat last, and admits a request to an engine only while the engine's load stays
// below a configured multiple of the pool's mean. Homes exchange the inputs of the mean in
// digests. If two routers act as home of the same shard, each publishes the work that it admitted
// and adds the work that the other published.
//
// The package performs no I/O, starts no goroutines and takes the current time as an argument.
package place
