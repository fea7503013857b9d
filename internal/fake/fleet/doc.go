// Package fleet starts a small fleet in one process on loopback: the platform's
// stand-in, engines, plain services and routers, each listening on its own port.
// The routers are the real ones; only what they talk to is a stand-in.
package fleet
