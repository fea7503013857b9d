// Package peer maintains each router's membership view of the other routers and of the targets, and
// the gossip that keeps these views up to date.
//
// View holds the state: it merges gossip digests from other routers with the platform's list of
// boxes and with the results of requests. It does no input or output, so that tests and
// measurements can drive it round by round. Node exchanges the digests with other routers over
// connect-go; Node.Respond and Node.Gossip serve the digests that other routers send.
//
// The views of two routers can differ for seconds. No invariant depends on them being equal; a
// difference costs only latency or precision.
package peer
