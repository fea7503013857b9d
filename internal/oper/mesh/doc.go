// Package mesh joins membership, the configured services and the homes of shards: it
// makes pools of targets, assigns their shards to routers, and keeps homes, permits and
// standbys up to date as routers and targets come and go.
package mesh
