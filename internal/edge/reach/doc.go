// Package reach connects to targets, directly or through a peer.
//
// A router may lose its paths to targets while its callers, the store and its peers still reach it.
// Connection attempts that fail do not show whether the target or the path is at fault. A peer's
// attempt at the same target does: if the peer connects, only this router's path is lost. The
// connection then goes through a tunnel at the peer, which copies bytes and neither reads nor repeats
// requests, so that all decisions about a request remain at the router that has accepted it.
package reach
