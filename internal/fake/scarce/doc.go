// Package scarce exhausts resources of a test's own process that a router can run out of.
package scarce
