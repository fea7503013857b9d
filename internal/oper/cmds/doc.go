// Package cmds is the command line: it runs a router, and calls a router for the
// operators' commands. Exit statuses are listed in exit.go and in the man page.
package cmds
