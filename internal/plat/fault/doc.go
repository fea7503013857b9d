// Package fault provides the generic error type of the other packages: each package declares its
// own error kinds and instantiates Error with them.
package fault
