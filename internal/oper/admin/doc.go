// Package admin implements the admin API of a router: it checks and records operators'
// changes, shows the configuration in force and its audit log, and compares the decisions of
// a candidate policy with those of the policy in force.
package admin
