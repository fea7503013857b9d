// Package match decides which service a request goes to and under which terms: routes
// by host and longest path prefix, workspaces by API key, limits on what callers send.
//
// The package does no input or output; a table is immutable once compiled.
package match
