// Package route finds a target for a request. It requests a permit from the homes of the pool's
// shards, in the order of the chat's preference, and places the request locally if no home is
// reachable. It keeps the permits that this router holds, from which a new home rebuilds its
// counts.
package route
