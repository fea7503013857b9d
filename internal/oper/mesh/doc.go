// Package mesh combines membership, the configured services and the homes of shards. It builds pools
// of targets, assigns their shards to routers, and keeps homes, permits and standbys up to date when
// routers and targets join or leave.
package mesh
