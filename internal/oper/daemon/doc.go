// Package daemon assembles a router from its components and runs it: it starts the
// listeners, follows membership and configuration changes, and shuts down without
// aborting requests in flight.
package daemon
