package origin

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/ident"
)

// Key identifies a stream by its workspace and the ID of the request that brought its first event. Zero
// stands for an unknown stream.
type Key uint64

// NewKey returns the key of the stream that began with a request.
func NewKey(workspace ident.Workspace, request string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(string(workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(request)
	return Key(max(d.Sum64(), 1))
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Origin is where a stream began.
type Origin struct {
	Service ident.Service
	Version ident.Version
}

// Record is the origin of one stream.
type Record struct {
	Key Key
	Origin
}

// Answer is what one router knows about a stream.
type Answer struct {
	Origin Origin
	// Known is set if the router has the origin.
	Known bool
	// Expected is set if it only knows at which version the stream was expected to begin. Any router that knows more
	// is right.
	Expected bool
	// Several is set if the service had several versions within the time that a stream may last.
	Several bool
	// Complete is set if the router knows all versions that the service had within that time. One that has just
	// started does so only once it has read the table of versions.
	Complete bool
	// Archived is set if the router has read the origins that are in the store.
	Archived bool
}

// Source is how an origin was found.
type Source string

const (
	// Own means that this router has the origin.
	Own Source = "own"
	// Peer means that another router has it.
	Peer Source = "peer"
	// SingleVersion means that no router has it, and that the service had one version for as long as a
	// stream may last.
	SingleVersion Source = "single_version"
	// Unknown means that no router has it and that the service had several versions.
	Unknown Source = "unknown"
	// Overloaded means that too many streams are being looked up.
	Overloaded Source = "overloaded"
)

// Found is the result of a search for an origin. Without the source Unknown or Overloaded, it contains the
// origin.
type Found struct {
	Origin
	Source Source
	// From is the router that has the origin, for the source Peer.
	From ident.Router
	// Asked is the number of routers that were asked, Answered the number of those that responded.
	Asked    int
	Answered int
	// Lost is set for the source Unknown if all routers have answered and have read the store: nobody will find the
	// origin later.
	Lost bool
}

// Resumable reports whether the stream may go on.
func (f Found) Resumable() bool { return f.Source != Unknown && f.Source != Overloaded }

// Lifetime is how long an origin is kept, and how long a service has had several versions after all
// targets of another version are gone: longer than a caller waits for a stream with all of its tries.
const Lifetime = time.Minute
