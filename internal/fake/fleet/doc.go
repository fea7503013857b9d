// Package fleet starts a small fleet in one process on loopback: a fake platform, fake engines and
// plain services, and routers, each listening on its own port. The routers run the code of the
// product; only the platform and the targets are fakes.
package fleet
