// Package route finds a target for one request: it asks the homes of the pool's
// shards for a permit, in the order that the chat prefers, and decides alone when
// a home cannot be reached. It keeps the list of permits that this router holds,
// from which a new home learns its counts.
package route
