// Package node puts together a router that serves by routes and lives off the
// platform's store: it follows configuration and targets there, finds the other
// routers, and shares counts, places and retries with them.
package node
