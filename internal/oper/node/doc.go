// Package node assembles a router that serves requests by routes and works with the platform's
// store. It follows configuration and targets in the store, discovers its peers, and shares request
// counts, placements and retries with them.
package node
