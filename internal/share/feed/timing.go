package feed

import "time"

// Timing contains the intervals and timeouts of calls to the store and to peers.
type Timing struct {
	// StoreWait is how long the store may hold a call until something changes. A broken connection
	// that was not closed is only detected after it.
	StoreWait time.Duration
	// FullReadTimeout is the timeout for reading a full table. The source sets a much shorter timeout
	// for each of its pages.
	FullReadTimeout time.Duration
	// TimeoutMargin is added to the wait of a call to get its timeout.
	TimeoutMargin time.Duration
	// BatchDelay is the delay after a change, so that changes in quick succession are read together.
	BatchDelay time.Duration
	// MinBackoff and MaxBackoff limit the delay after a failed call.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxChildBackoff is the longest delay between calls to a failing store by a router that is
	// neither a reader nor a backup reader, while peers respond, even with stale pages: readers and
	// backup readers retry the store more often.
	MaxChildBackoff time.Duration
	// PeerWait is how long a peer may hold a call.
	PeerWait time.Duration
	// PeerFirstWait is how long a peer may hold a call while this router lacks a first copy of a
	// table.
	PeerFirstWait time.Duration
	// PeerFullTimeout is the timeout of a call to a peer while a table has not been loaded.
	PeerFullTimeout time.Duration
	// MaxPeerAge is the maximum age of a page from a peer.
	MaxPeerAge time.Duration
}

// DefaultTiming lets a configuration take effect within two seconds whichever component hangs: a
// router that reads from a peer detects at the next response, at most 0.4 s later, that its data is
// over 1.4 s old, and reads from the store itself. A recovered store is detected within half a
// second.
//
// During a store outage the routers that are neither readers nor backup readers call it once in two
// to four seconds. In a model of six availability zones of 50 routers that is 87 calls a second per
// table, compared to 188 with half a second for all routers, and a change reaches all of them 1.2 s
// after the recovery. It takes 2 s if only the readers retry often.
//
// The rows of 3,100 targets are about 1 MB, which takes a second on a link of 10 Mbit/s and several
// seconds if it is shared with the router's other traffic. Peers send them compressed to a fifth.
var DefaultTiming = Timing{
	StoreWait: time.Second, FullReadTimeout: 10 * time.Second, TimeoutMargin: 300 * time.Millisecond,
	BatchDelay: 150 * time.Millisecond, MinBackoff: 50 * time.Millisecond, MaxBackoff: 500 * time.Millisecond, MaxChildBackoff: 4 * time.Second,
	PeerWait: 400 * time.Millisecond, PeerFirstWait: 100 * time.Millisecond, PeerFullTimeout: 2 * time.Second, MaxPeerAge: 1400 * time.Millisecond,
}
