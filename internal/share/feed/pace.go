package feed

import "time"

// Pace is how often the store and other routers are called, and how long they may take.
type Pace struct {
	// Wait is how long the store may hold a call until something changes. A connection
	// that has died without a word is noticed only after it.
	Wait time.Duration
	// Whole is how long the reading of a whole table may take. Each of its pages must come
	// much sooner, which is up to the source.
	Whole time.Duration
	// Slack is added to a wait until a call counts as lost.
	Slack time.Duration
	// Gather is the pause after a change, so that those that come together are read together.
	Gather time.Duration
	// Least and Most bound the pause after a failed call.
	Least time.Duration
	Most  time.Duration
	// Others is the longest pause of a router that is neither a reader nor a deputy while other
	// routers answer, if only with old news: the former look for the store more often.
	Others time.Duration
	// PeerWait is how long another router may hold a call.
	PeerWait time.Duration
	// PeerFirst is how long another router may hold a call while this one has no copy yet.
	PeerFirst time.Duration
	// PeerWhole is how long another router's answer may take while a table is not known.
	PeerWhole time.Duration
	// Old is how old another router's news may be.
	Old time.Duration
}

// DefaultPace has a configuration in force within two seconds whatever hangs: a router
// that reads from another notices that its news is over 1.4 s old at its next answer,
// 0.4 s later at most, and reads the store itself. A returned store is found within
// half a second. While it is away the routers that are neither readers nor deputies ask it
// once in two to four seconds: in a model of six availability zones of 50 routers 87 calls a
// second and table, in place of 188 with half a second for all, and a change reaches all 1.2 s
// after its return; with the readers alone asking often it was 2 s. The rows of 3,100 targets
// are about 1 MB, a second of a link of 10 Mbit/s and several when the router's other traffic
// shares it; from another router they come compressed to a fifth.
var DefaultPace = Pace{
	Wait: time.Second, Whole: 10 * time.Second, Slack: 300 * time.Millisecond,
	Gather: 150 * time.Millisecond, Least: 50 * time.Millisecond, Most: 500 * time.Millisecond, Others: 4 * time.Second,
	PeerWait: 400 * time.Millisecond, PeerFirst: 100 * time.Millisecond, PeerWhole: 2 * time.Second, Old: 1400 * time.Millisecond,
}
