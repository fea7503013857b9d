package origin

import (
	"sync"

	"valescale/internal/plat/ident"
)

// bucketKeepers are the routers that keep the origins of a bucket.
type bucketKeepers struct {
	// own are those to which this router sends origins, likely those that it asks.
	own    []ident.Router
	likely []ident.Router
	// archiver is the router that writes the origins to the store.
	archiver ident.Router
}

// keeperCache holds the keepers of each bucket until the routers change. To determine them, all routers are
// sorted, which takes half a millisecond at a thousand.
type keeperCache struct {
	mu      sync.Mutex
	version uint64
	buckets map[uint64]bucketKeepers
}

// get returns the keepers of a bucket for a version of the routers, and determines them if necessary.
func (c *keeperCache) get(bucket, version uint64, determine func() bucketKeepers) bucketKeepers {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buckets == nil || c.version != version {
		c.version, c.buckets = version, map[uint64]bucketKeepers{}
	}
	known, cached := c.buckets[bucket]
	if !cached {
		known = determine()
		c.buckets[bucket] = known
	}
	return known
}
