// Package home implements the homes that this router runs: the permits and queued requests of
// engine shards, and the token buckets of workspaces.
//
// All of this state is soft. If a home is lost, the next router rebuilds it from the permits that
// the edge routers hold. If two routers both act as home of a shard, each counts the permits that
// it granted and adds the loads that the other publishes.
package home
