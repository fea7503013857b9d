// Package admin is the operators' side of a router: it checks and records their
// changes, shows what is in force and who made it so, and runs a candidate policy
// beside the one in force.
package admin
