// Package home runs the homes that this router holds: the permits and waiting
// requests of engine shards, and the token buckets of workspaces.
//
// All of it is soft. A home that is lost is built anew at the next router from
// what the edges hold; two routers that both believe to be home of a shard each
// count what they admitted and add what the other publishes.
package home
