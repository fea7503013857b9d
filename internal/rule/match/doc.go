// Package match selects the route, the workspace and the service of a request: routes by host
// and longest path prefix, workspaces by API key, services by weight.
//
// The package does no I/O. A compiled table is immutable.
package match
