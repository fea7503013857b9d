package origin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// peers is Peers that keep what is published, and of which each answers in its own way.
type peers struct {
	mu sync.Mutex
	// published are the messages, in order.
	published [][]Record
	// answers are the answers of the routers. Others answer only once the test ends, which closes silence.
	answers map[ident.Router]Answer
	silence chan struct{}
}

func (p *peers) PublishOrigins(_ ident.Router, records []Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published = append(p.published, slices.Clone(records))
}

func (p *peers) PublishExpected(ident.Router, Record) {}

func (p *peers) FindOrigin(_ context.Context, to ident.Router, _ Key, _ ident.Service) (Answer, error) {
	if answer, known := p.answers[to]; known {
		return answer, nil
	}
	<-p.silence
	return Answer{}, errors.New("no answer")
}

// take returns the messages published so far, each sorted by key, and forgets them.
func (p *peers) take() [][]Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.published
	p.published = nil
	for _, message := range out {
		slices.SortFunc(message, func(a, b Record) int { return int(a.Key) - int(b.Key) })
	}
	return out
}

// newPeered returns the origins of router-0 of four, with the time of the bubble.
func newPeered(p Peers) *Origins {
	routers := newFleetList(4)
	o := New(Parts{
		Self: "router-0", Region: "co", Peers: p, Routers: func() []Router { return routers }, RoutersVersion: func() uint64 { return 1 },
		AnyDead: func() bool { return false }, RowsCurrent: func() bool { return true }, WokeAt: neverSuspended, Store: newMemoryStore(), Role: writes, Logger: log.NewNopLogger(), Clock: time.Now,
	})
	if err := o.readRecord(context.Background()); err != nil {
		panic(err)
	}
	return o
}

// record returns the origin of a stream of service s.
func record(key Key, version ident.Version) Record {
	return Record{Key: key, Origin: Origin{Service: "s", Version: version}}
}

// Guards against a table that keeps expired origins until it is full, and one that evicts an origin which was
// recorded again.
func TestExpiredOriginsAreEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	kept := newRecentOrigins()
	for key := range Key(10) {
		kept.put(now, record(key+1, "v1"), false)
	}
	kept.put(now.Add(Lifetime/2), record(1, "v1"), false)
	kept.put(now.Add(Lifetime-1), record(20, "v1"), false)
	if diff := cmp.Diff([]int{11, 12}, []int{len(kept.entries), len(kept.order)}); diff != "" {
		t.Errorf("before the lifetime has passed: %s", diff)
	}
	kept.put(now.Add(Lifetime), record(21, "v1"), false)
	if diff := cmp.Diff([]int{3, 3}, []int{len(kept.entries), len(kept.order)}); diff != "" {
		t.Errorf("once the lifetime has passed: %s", diff)
	}
	if _, found := kept.get(now.Add(Lifetime), 1); !found {
		t.Error("an origin that was recorded again was evicted")
	}
}

// run runs Run until the end of the test.
func run(t *testing.T, o *Origins) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against origins of peers that each of their keepers publishes again when a version is added, origins of
// other services and expired ones, and against streams of this router that are left out because a peer published
// them too.
func TestOwnOriginsArePublishedWhenAVersionIsAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{}
		o := newPeered(p)
		run(t, o)
		o.TargetAdded(Origin{Service: "s", Version: "v1"})
		o.TargetAdded(Origin{Service: "other", Version: "v1"})
		o.Began(record(1, "v1"))
		<-time.After(Lifetime / 2)
		o.Began(record(2, "v1"))
		o.Merge([]Record{record(3, "v1")})
		o.Began(Record{Key: 4, Origin: Origin{Service: "other", Version: "v1"}})
		o.Began(record(5, "v1"))
		o.Merge([]Record{record(5, "v1")})
		<-time.After(Lifetime / 2)
		synctest.Wait()
		if got := p.take(); len(got) != 0 {
			t.Errorf("%v published while the service has one version", got)
		}
		o.TargetAdded(Origin{Service: "s", Version: "v2"})
		synctest.Wait()
		got := map[Record]int{}
		for _, r := range slices.Concat(p.take()...) {
			got[r]++
		}
		want := map[Record]int{record(2, "v1"): keeperCount, record(5, "v1"): keeperCount}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against messages for each stream long after a service had several versions, and against streams that
// cannot be resumed because their origins are not published when it gets another one later.
func TestServiceHasOneVersionAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{}
		o := newPeered(p)
		run(t, o)
		for _, version := range []ident.Version{"v1", "v2"} {
			o.TargetAdded(Origin{Service: "s", Version: version})
		}
		synctest.Wait()
		o.TargetRemoved(Origin{Service: "s", Version: "v1"})
		<-time.After(Lifetime - 1)
		o.Began(record(1, "v2"))
		synctest.Wait()
		if got := len(p.take()); got != keeperCount {
			t.Errorf("%d messages within the lifetime, want %d", got, keeperCount)
		}
		o.TargetAdded(Origin{Service: "s", Version: "v2"})
		synctest.Wait()
		if got := len(p.take()); got != 0 {
			t.Errorf("%d messages for one more target, want none", got)
		}
		<-time.After(1)
		o.Began(record(2, "v2"))
		synctest.Wait()
		if got := len(p.take()); got != 0 {
			t.Errorf("%d messages after the lifetime, want none", got)
		}
		if o.Answer(t.Context(), 9, "s").Several {
			t.Error("the service has several versions after the lifetime")
		}
		o.TargetAdded(Origin{Service: "s", Version: "v3"})
		synctest.Wait()
		got := map[Record]int{}
		for _, r := range slices.Concat(p.take()...) {
			got[r]++
		}
		if diff := cmp.Diff(map[Record]int{record(1, "v2"): keeperCount, record(2, "v2"): keeperCount}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against messages that are too large for a link, or that leave out a part of the origins.
func TestMessagesAreLimited(t *testing.T) {
	p := &peers{}
	o := newPeered(p)
	var records []Record
	for key := Key(1); len(records) < 2*maxPublished+1; key++ {
		if bucketOf(key) == 0 {
			records = append(records, record(key, "v1"))
		}
	}
	o.publish(records)
	var sizes []int
	all := map[Record]int{}
	for _, message := range p.take() {
		sizes = append(sizes, len(message))
		for _, r := range message {
			all[r]++
		}
	}
	var want []int
	for range keeperCount {
		want = append(want, maxPublished, maxPublished, 1)
	}
	if diff := cmp.Diff(want, sizes); diff != "" {
		t.Error(diff)
	}
	for _, r := range records {
		if all[r] != keeperCount {
			t.Errorf("stream %s was published %d times, want %d", r.Key, all[r], keeperCount)
		}
	}
}

// Guards against searches that wait for routers which do not answer: for longer than searchTimeout or the caller,
// or although another router has the origin.
func TestSearchDoesNotWaitForSilentRouters(t *testing.T) {
	origin := Origin{Service: "s", Version: "v1"}
	has, hasNot := Answer{Origin: origin, Known: true}, Answer{}
	for _, c := range []struct {
		name    string
		answers map[ident.Router]Answer
		// callerLeaves is when the caller leaves, zero if it does not.
		callerLeaves time.Duration
		want         Found
		took         time.Duration
	}{
		{"none answers", nil, 0, Found{Source: Unknown, Asked: 3}, searchTimeout},
		{"none answers, the caller leaves", nil, searchTimeout / 2, Found{Source: Unknown, Asked: 3}, searchTimeout / 2},
		{"one answers", map[ident.Router]Answer{"router-1": hasNot}, 0, Found{Origin: origin, Source: SingleVersion, Asked: 3, Answered: 1}, searchTimeout},
		{"one has it", map[ident.Router]Answer{"router-2": has}, 0, Found{Origin: origin, Source: Peer, From: "router-2", Asked: 3, Answered: 1}, 0},
		{
			"all answer", map[ident.Router]Answer{"router-1": hasNot, "router-2": hasNot, "router-3": hasNot}, 0,
			Found{Origin: origin, Source: SingleVersion, Asked: 3, Answered: 3}, 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silence := make(chan struct{})
				defer close(silence)
				o := newPeered(&peers{answers: c.answers, silence: silence})
				o.TargetAdded(origin)
				ctx := t.Context()
				if c.callerLeaves > 0 {
					limited, cancel := context.WithTimeout(ctx, c.callerLeaves)
					defer cancel()
					ctx = limited
				}
				started := time.Now()
				got := o.Find(ctx, 7, "s")
				if diff := cmp.Diff(c.took, time.Since(started)); diff != "" {
					t.Errorf("time of the search: %s", diff)
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Guards against a stream that goes on at the only version left although the other one was there when the search
// began.
func TestVersionExpiresDuringSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silence := make(chan struct{})
		defer close(silence)
		o := newPeered(&peers{answers: map[ident.Router]Answer{"router-1": {}}, silence: silence})
		for _, version := range []ident.Version{"v1", "v2"} {
			o.TargetAdded(Origin{Service: "s", Version: version})
		}
		o.TargetRemoved(Origin{Service: "s", Version: "v1"})
		<-time.After(Lifetime - searchTimeout/2)
		got := o.Find(t.Context(), 7, "s")
		if diff := cmp.Diff(Found{Source: Unknown, Asked: 3, Answered: 1}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a guess without a search: that this router has seen one version does not show that others have.
func TestNoGuessWithoutSearch(t *testing.T) {
	o := newPeered(&peers{})
	o.TargetAdded(Origin{Service: "s", Version: "v1"})
	for range maxSearches {
		o.searches <- struct{}{}
	}
	if diff := cmp.Diff(Found{Source: Overloaded}, o.Find(t.Context(), 7, "s")); diff != "" {
		t.Error(diff)
	}
}

// Guards against versions and services that are kept for ever once their targets are gone.
func TestVersionsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	v := newVersions()
	for _, version := range []ident.Version{"v1", "v2"} {
		v.add(now, Origin{Service: "s", Version: version})
	}
	v.remove(now, Origin{Service: "s", Version: "v1"})
	v.remove(now.Add(time.Second), Origin{Service: "s", Version: "v2"})
	v.remove(now, Origin{Service: "other", Version: "v1"})
	for _, c := range []struct {
		after time.Duration
		want  []ident.Version
	}{{Lifetime - 1, []ident.Version{"v1", "v2"}}, {Lifetime, []ident.Version{"v2"}}, {Lifetime + time.Second, nil}} {
		if diff := cmp.Diff(c.want, v.recent(now.Add(c.after), "s")); diff != "" {
			t.Errorf("after %s: %s", c.after, diff)
		}
	}
	if len(v.services) != 0 {
		t.Errorf("%d services kept, want none", len(v.services))
	}
}
