package origin

import (
	"context"
	"fmt"
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
	// PublishExpected sends the origin of a stream that has not begun yet to the router that writes it to the store.
	PublishExpected(to ident.Router, record Record)
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
	// AnyDead reports whether this router takes others for dead, which may only be out of its reach.
	AnyDead func() bool
	// RowsCurrent reports whether the store has confirmed the targets a moment ago.
	RowsCurrent func() bool
	// WokeAt returns when this process was last suspended for a while, or zero: it has missed what happened meanwhile.
	WokeAt func() time.Time
	Store  Store
	// Role returns this router's role for the table of versions.
	Role   func() Role
	Logger log.Logger
	Clock  ident.Clock
}

// Origins keeps origins and finds those that other routers keep.
type Origins struct {
	Parts
	// searches limits the number of concurrent searches.
	searches chan struct{}
	// confirming lets one search at a time read the table of versions.
	confirming chan struct{}
	// newlySeveral receives the services that got a second version.
	newlySeveral chan ident.Service

	// byBucket caches the keepers of each bucket.
	byBucket keeperCache

	mu       sync.Mutex
	recent   *recentOrigins
	versions *versions
	// several contains the services that had several versions when last seen.
	several map[ident.Service]bool
	// observedSince is when the first target was counted, or zero.
	observedSince time.Time
	record        *versionRecord
	// changesSince is when the table of versions was first seen to lack changes, or zero. Only RunRecord uses it.
	changesSince time.Time
	// versionsChanged wakes RunRecord.
	versionsChanged chan struct{}

	archive *archive
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

// New returns Origins without any origin. Run, RunRecord and RunArchive must be called.
func New(parts Parts) *Origins {
	return &Origins{
		Parts: parts, searches: make(chan struct{}, maxSearches), confirming: make(chan struct{}, 1), newlySeveral: make(chan ident.Service, maxNewlySeveral),
		recent: newRecentOrigins(), versions: newVersions(), several: map[ident.Service]bool{},
		record: newVersionRecord(), versionsChanged: make(chan struct{}, 1), archive: newArchive(parts.Self, parts.Clock()),
	}
}

// TargetAdded counts a target of a service and version.
func (o *Origins) TargetAdded(of Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	if o.observedSince.IsZero() {
		o.observedSince = now
	}
	o.versions.add(now, of)
	if !slices.Contains(o.record.services[of.Service].versions, of.Version) {
		o.signalVersions()
	}
	o.noteSeveral(of.Service)
}

// noteSeveral has the origins of a service published if it has newly got several versions. The caller holds the lock.
func (o *Origins) noteSeveral(service ident.Service) {
	if !o.hasSeveral(service) || o.several[service] {
		return
	}
	o.several[service] = true
	_ = level.Info(o.Logger).Log("msg", "service has several versions", "service", service, "versions", fmt.Sprint(o.versions.recent(o.Clock(), service)))
	select {
	case o.newlySeveral <- service:
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
			records := o.recent.ownRecords(o.Clock(), func(of Origin) bool { return of.Service == service })
			o.mu.Unlock()
			o.publish(records)
		}
	}
}

// Began records the origin of a stream, and publishes it if the service has several versions.
func (o *Origins) Began(r Record) {
	o.mu.Lock()
	o.recent.put(o.Clock(), r, true)
	several := o.hasSeveral(r.Service)
	o.mu.Unlock()
	if several {
		o.publish([]Record{r})
	}
}

// Expected has the version at which a stream will probably begin written to the store, if its service has several.
func (o *Origins) Expected(r Record) {
	o.mu.Lock()
	several := o.hasSeveral(r.Service)
	o.mu.Unlock()
	if !several {
		return
	}
	bucket := bucketOf(r.Key)
	switch archiver := o.keepersOf(bucket).archiver; archiver {
	case "":
	case o.Self:
		o.archive.add(o.Clock(), bucket, archivedRecord{Record: r, expected: true})
	default:
		o.Peers.PublishExpected(archiver, r)
	}
}

// MergeExpected has the versions at which streams of another router will probably begin written to the store.
func (o *Origins) MergeExpected(records []Record) {
	now := o.Clock()
	for _, r := range records {
		o.archive.add(now, bucketOf(r.Key), archivedRecord{Record: r, expected: true})
	}
}

// BeganUnexpectedly records the origin of a stream of which another version was expected, and waits until it is in the
// store: nothing else would tell which of the two is right. If the store does not accept it, the stream begins all the
// same.
func (o *Origins) BeganUnexpectedly(r Record) {
	o.Began(r)
	o.mu.Lock()
	several := o.hasSeveral(r.Service)
	o.mu.Unlock()
	if several {
		o.archive.add(o.Clock(), bucketOf(r.Key), archivedRecord{Record: r})
		o.Flush(context.Background())
	}
}

// keepersOf returns the keepers of a bucket.
func (o *Origins) keepersOf(bucket uint64) bucketKeepers {
	return o.byBucket.get(bucket, o.RoutersVersion(), func() bucketKeepers {
		routers := o.Routers()
		return bucketKeepers{
			own: keepers(bucket, o.Self, o.Region, routers), likely: likelyKeepers(bucket, o.Self, routers),
			archiver: archiverOf(bucket, o.Region, routers),
		}
	})
}

// publish sends origins to their keepers, of which one writes them to the store.
func (o *Origins) publish(records []Record) {
	byBucket := map[uint64][]Record{}
	for _, r := range records {
		o.archiveIfAssigned(r)
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
	o.merge(records)
	for _, r := range records {
		o.archiveIfAssigned(r)
	}
}

func (o *Origins) merge(records []Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock()
	for _, r := range records {
		o.recent.put(now, r, false)
	}
}

// Answer returns what this router knows about a stream of a service. If it does not have the origin and the service may
// have had several versions, it reads the origins that are in the store.
func (o *Origins) Answer(ctx context.Context, key Key, service ident.Service) Answer {
	known := o.answer(key, service)
	if known.Known && !known.Expected || known.Complete && !known.Several {
		return known
	}
	// The router that asks has to have the answer in time, even if the store does not respond.
	ctx, cancel := context.WithTimeout(ctx, searchTimeout/2)
	defer cancel()
	archived := o.loadArchive(ctx, bucketOf(key))
	known = o.answer(key, service)
	known.Archived = archived
	return known
}

// answer returns what this router knows about a stream without the store.
func (o *Origins) answer(key Key, service ident.Service) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, exists := o.recent.get(o.Clock(), key)
	return Answer{Origin: known, Known: exists, Expected: exists && o.recent.onlyExpected(key), Several: o.hasSeveral(service), Complete: o.knowsAll()}
}

// Observed returns for how long this router has observed the targets of a service.
func (o *Origins) Observed(service ident.Service) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.observed(o.Clock(), service)
}

// Find returns the origin of a stream of a service. It asks the routers that may keep it.
func (o *Origins) Find(ctx context.Context, key Key, service ident.Service) Found {
	own := o.answer(key, service)
	if own.Known && !own.Expected {
		return own.found(Own)
	}
	select {
	case o.searches <- struct{}{}:
		defer func() { <-o.searches }()
	default:
		return Found{Source: Overloaded}
	}
	began := o.Clock()
	found, others := o.ask(ctx, key, service)
	if found.Source != "" {
		return found
	}
	if found.Answered == 0 {
		own = o.Answer(ctx, key, service)
		if own.Known && (!own.Expected || found.Asked == 0) {
			own := own.found(Own)
			own.Asked = found.Asked
			return own
		}
		others.Archived = own.Archived
	}
	several := own.Several || others.Several || !own.Complete && !others.Complete || o.mayBeCutOff(ctx, found, began)
	result := o.withoutOrigin(service, several)
	result.Asked, result.Answered = found.Asked, found.Answered
	result.Lost = result.Source == Unknown && found.Answered == found.Asked && others.Archived
	return result
}

// found returns the result of a search that ends with the answer. A stream that began at an unknown version has no origin.
func (a Answer) found(source Source) Found {
	if a.Origin.Version == "" {
		return Found{Source: Unknown}
	}
	return Found{Origin: a.Origin, Source: source}
}

// mayBeCutOff reports whether this router may have missed that a service got another version: no other router
// has answered, and, if it knows none that lives, the store has not confirmed the targets, or, if others may be out of reach, the
// versions since the search began.
func (o *Origins) mayBeCutOff(ctx context.Context, found Found, began time.Time) bool {
	switch {
	case found.Answered > 0:
		return false
	case found.Asked > 0 || !o.RowsCurrent():
		return true
	default:
		return o.AnyDead() && !o.confirmVersions(ctx, began)
	}
}

// confirmVersions reports whether the table of versions was read since a time, and reads it if not. The targets were
// confirmed some time before that: a stream may have begun meanwhile at a version that has joined since.
func (o *Origins) confirmVersions(ctx context.Context, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	select {
	case o.confirming <- struct{}{}:
		defer func() { <-o.confirming }()
	case <-ctx.Done():
		return false
	}
	o.mu.Lock()
	readAt := o.record.readAt
	o.mu.Unlock()
	return !readAt.Before(since) || o.readRecord(ctx) == nil
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

// ask asks the routers that may keep an origin, all at once, and returns as soon as one has it. A version that was only
// expected counts if all have answered, none has more and none expects another one. In the answers together,
// Several and Complete are set if they are in one of them, and Archived if it is in all of them.
func (o *Origins) ask(ctx context.Context, key Key, service ident.Service) (found Found, together Answer) {
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
	together.Archived = true
	var expected []reply
	for range asked {
		var r reply
		select {
		case r = <-replies:
		case <-ctx.Done():
			return found, together
		}
		if r.err != nil {
			continue
		}
		found.Answered++
		together.Several = together.Several || r.answer.Several
		together.Complete = together.Complete || r.answer.Complete
		together.Archived = together.Archived && r.answer.Archived
		switch {
		case r.answer.Known && r.answer.Expected:
			expected = append(expected, r)
		case r.answer.Known:
			return r.found(found), together
		}
	}
	if found.Answered == found.Asked && agree(expected) {
		return expected[0].found(found), together
	}
	return found, together
}

// found adds the origin in a reply to the counts of a search.
func (r reply) found(counts Found) Found {
	out := r.answer.found(Peer)
	out.From, out.Asked, out.Answered = r.from, counts.Asked, counts.Answered
	return out
}

// agree reports whether there are replies, all with the same origin.
func agree(replies []reply) bool {
	return len(replies) > 0 && !slices.ContainsFunc(replies, func(r reply) bool { return r.answer.Origin != replies[0].answer.Origin })
}
