// Package cmds implements the command line. It runs a router, and provides the operator commands,
// which call the admin service of a router. Exit statuses are listed in exit.go and in the man
// page.
package cmds
