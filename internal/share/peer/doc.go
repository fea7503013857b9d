// Package peer is what routers know of each other and of the targets, and how
// they tell each other.
//
// View is the knowledge itself: it merges digests from other routers with the
// platform's list and what sends and answers show, and it never does input or
// output, so that tests and measurements can drive it round by round. Node moves
// the digests between routers over connect-go, and Server answers the others.
//
// Views of two routers differ for seconds. Nothing that must hold depends on
// them being the same; what is lost meanwhile is speed or precision.
package peer
