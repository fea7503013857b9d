// Package scarce takes from a test's own process what a router may run out of.
package scarce
