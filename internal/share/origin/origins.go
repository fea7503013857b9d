package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
)

// Peers sends messages to other routers.
type Peers interface {
	// PublishOrigins sends origins to a router without waiting for it.
	PublishOrigins(to ident.Router, records []Record)
	// FindOrigin returns what a router knows about a stream of a service.
	FindOrigin(ctx context.Context, to ident.Router, key Key, service ident.Service) (Answer, error)
}

// Parts contains the dependencies of Origins.
type Parts struct {
	Self   ident.Router
	Region ident.Region
	Peers  Peers
	// Routers returns the routers that are not known to be dead, including this one. RoutersVersion increases
	// with each change of them.
	Routers        func() []Router
	RoutersVersion func() uint64
	// RowsCurrent reports whether the store has confirmed the targets a moment ago.
	RowsCurrent func() bool
	Logger      log.Logger
	Clock       ident.Clock
}

// Origins keeps origins and finds those that other routers keep.
type Origins struct {
	Parts
	// searches limits the number of concurrent searches.
	searches chan struct{}
	// newlySeveral receives the services that got a second version.
	newlySeveral chan ident.Service

	// byBucket caches the keepers of each bucket.
	byBucket keeperCache

	mu       sync.Mutex
	table    *table
	versions *versions
	// several contains the services that had several versions when last seen.
	several map[ident.Service]bool
}

const (
	// maxSearches is the maximum number of concurrent searches, so that callers that resume unknown streams
	// cannot occupy the fleet.
	maxSearches = 64
	// searchTimeout limits a search: many round trips to another router, a small part of the shortest
	// objectives.
	searchTimeout = 100 * time.Millisecond
	// maxNewlySeveral is how many services can get a second version before their origins are published.
	maxNewlySeveral = 256
	// maxPublished is the maximum number of origins in one message.
	maxPublished = 256
)

// New returns Origins without any origin. Run must be called for services that get a second version.
func New(parts Parts) *Origins {
	return &Origins{
		Parts: parts, searches: make(chan struct{}, maxSearches), newlySeveral: make(chan ident.Service, maxNewlySeveral),
		table: newTable(), versions: newVersions(), several: map[ident.Service]bool{},
	}
}

// TargetAdded counts a target of a service and version.
func (o *Origins) TargetAdded(of Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.add(o.Clock(), of)
	if !o.hasSeveral(of.Service) || o.several[of.Service] {
		return
	}
	o.several[of.Service] = true
	_ = level.Info(o.Logger).Log("msg", "service has several versions", "service", of.Service, "added", of.Version)
	select {
	case o.newlySeveral <- of.Service:
	default:
		// Streams that have begun at this router cannot be resumed elsewhere if this router ends.
	}
}

// TargetRemoved no longer counts a target of a service and version.
func (o *Origins) TargetRemoved(of Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.remove(o.Clock(), of)
}

// hasSeveral reports whether a service had several versions within Lifetime. The caller holds the lock.
func (o *Origins) hasSeveral(service ident.Service) bool {
	if len(o.versions.recent(o.Clock(), service)) > 1 {
		return true
	}
	if o.several[service] {
		delete(o.several, service)
		_ = level.Info(o.Logger).Log("msg", "service has one version", "service", service)
	}
	return false
}

// Run publishes the origins that were recorded before their service got a second version, until the
// context ends.
func (o *Origins) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case service := <-o.newlySeveral:
			o.mu.Lock()
			records := o.table.ownRecords(o.Clock(), func(of Origin) bool { return of.Service == service })
			o.mu.Unlock()
			o.publish(records)
		}
	}
}

// Began records the origin of a stream, and publishes it if the service has several versions.
func (o *Origins) Began(r Record) {
	o.mu.Lock()
	o.table.put(o.Clock(), r, true)
	several := o.hasSeveral(r.Service)
	o.mu.Unlock()
	if several {
		o.publish([]Record{r})
	}
}

// keepersOf returns the keepers of a bucket.
func (o *Origins) keepersOf(bucket uint64) bucketKeepers {
	return o.byBucket.get(bucket, o.RoutersVersion(), func() bucketKeepers {
		routers := o.Routers()
		return bucketKeepers{own: keepers(bucket, o.Self, o.Region, routers), likely: likelyKeepers(bucket, o.Self, routers)}
	})
}

// publish sends origins to their keepers.
func (o *Origins) publish(records []Record) {
	byBucket := map[uint64][]Record{}
	for _, r := range records {
		bucket := bucketOf(r.Key)
		byBucket[bucket] = append(byBucket[bucket], r)
	}
	for bucket, list := range byBucket {
		for _, to := range o.keepersOf(bucket).own {
			for part := range slices.Chunk(list, maxPublished) {
				o.Peers.PublishOrigins(to, part)
			}
		}
	}
}

// Merge records origins that another router has published.
func (o *Origins) Merge(records []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	for _, r := range records {
		o.table.put(now, r, false)
	}
}

// Answer returns what this router knows about a stream of a service.
func (o *Origins) Answer(key Key, service ident.Service) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, exists := o.table.get(o.Clock(), key)
	return Answer{Origin: known, Known: exists, Several: o.hasSeveral(service)}
}

// Observed returns for how long this router has observed the targets of a service.
func (o *Origins) Observed(service ident.Service) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.observed(o.Clock(), service)
}

// Find returns the origin of a stream of a service. It asks the routers that may keep it.
func (o *Origins) Find(ctx context.Context, key Key, service ident.Service) Found {
	own := o.Answer(key, service)
	if own.Known {
		return Found{Origin: own.Origin, Source: Own}
	}
	select {
	case o.searches <- struct{}{}:
		defer func() { <-o.searches }()
	default:
		return Found{Source: Overloaded}
	}
	found, several := o.ask(ctx, key, service)
	if found.Source == Peer {
		return found
	}
	result := o.withoutOrigin(service, own.Several || several || o.mayBeCutOff(found))
	result.Asked, result.Answered = found.Asked, found.Answered
	return result
}

// mayBeCutOff reports whether this router may have missed that a service got another version: no other router
// has answered, and, if it knows none, the store has not confirmed the targets.
func (o *Origins) mayBeCutOff(found Found) bool {
	return found.Answered == 0 && (found.Asked > 0 || !o.RowsCurrent())
}

// withoutOrigin returns the result if no router has the origin: the only version that the service had
// within Lifetime, or an unknown one.
func (o *Origins) withoutOrigin(service ident.Service, several bool) Found {
	o.mu.Lock()
	recent := o.versions.recent(o.Clock(), service)
	o.mu.Unlock()
	if several || len(recent) != 1 {
		return Found{Source: Unknown}
	}
	return Found{Origin: Origin{Service: service, Version: recent[0]}, Source: SingleVersion}
}

// reply is the answer of one router, or its failure.
type reply struct {
	from   ident.Router
	answer Answer
	err    error
}

// ask asks the routers that may keep an origin, all at once, and returns as soon as one has it. Several is
// set if one of them reports that the service had several versions.
func (o *Origins) ask(ctx context.Context, key Key, service ident.Service) (found Found, several bool) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	asked := o.keepersOf(bucketOf(key)).likely
	replies := make(chan reply, len(asked))
	for _, to := range asked {
		go func() {
			answer, err := o.Peers.FindOrigin(ctx, to, key, service)
			replies <- reply{to, answer, err}
		}()
	}
	found.Asked = len(asked)
	for range asked {
		var r reply
		select {
		case r = <-replies:
		case <-ctx.Done():
			return found, several
		}
		if r.err != nil {
			continue
		}
		found.Answered++
		several = several || r.answer.Several
		if r.answer.Known {
			found.Origin, found.Source, found.From = r.answer.Origin, Peer, r.from
			return found, several
		}
	}
	return found, several
}
