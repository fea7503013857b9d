// Package fault is the common shape of the packages' error types: each package
// declares its own kinds and instantiates Error with them.
package fault
