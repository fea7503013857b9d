// Package daemon puts a router together from its parts and runs it: it starts the
// listeners, follows membership and configuration, and stops without cutting off
// what is in flight.
package daemon
