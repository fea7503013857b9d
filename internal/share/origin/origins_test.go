package origin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// fleet is a set of routers that exchange origins without a network.
type fleet struct {
	mu      sync.Mutex
	now     time.Time
	routers []Router
	origins map[ident.Router]*Origins
	// dead routers receive nothing and answer nothing.
	dead map[ident.Router]bool
	// sent counts the published origins and the questions.
	sent        int
	asked       int
	rowsCurrent bool
	// version counts the changes of routers.
	version uint64
	store   *memoryStore
}

// newFleet returns routers in three availability zones, in turn.
func newFleet(count int) *fleet {
	f := &fleet{store: newMemoryStore(), now: time.Unix(1000, 0), origins: map[ident.Router]*Origins{}, dead: map[ident.Router]bool{}}
	for i := range count {
		id := ident.Router(fmt.Sprint("router-", i))
		f.routers = append(f.routers, Router{ID: id, Zone: ident.Zone(fmt.Sprint("zone-", i%3)), Region: "co", Accepts: true})
		f.start(id)
	}
	return f
}

// start starts a router without any origin.
func (f *fleet) start(id ident.Router) {
	o := New(Parts{
		Self: id, Region: "co", Peers: f, Routers: f.live, RoutersVersion: f.routersVersion, AnyDead: f.anyDead, RowsCurrent: func() bool { return f.rowsCurrent },
		WokeAt: neverSuspended, Store: f.store, Role: writes, Logger: log.NewNopLogger(), Clock: func() time.Time { return f.now },
	})
	f.origins[id] = o
	// The store may be away.
	_ = o.stepRecord(context.Background())
}

// live returns the routers that are not dead.
func (f *fleet) live() []Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.routers), func(r Router) bool { return f.dead[r.ID] })
}

// anyDead reports whether routers are dead.
func (f *fleet) anyDead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dead) > 0
}

// kill ends routers and lets all others know. Others that had ended run again, with what they kept.
func (f *fleet) kill(ids ...ident.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.dead = map[ident.Router]bool{}
	for _, id := range ids {
		f.dead[id] = true
	}
}

func (f *fleet) routersVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fleet) PublishOrigins(to ident.Router, records []Record) {
	f.mu.Lock()
	dead := f.dead[to]
	f.sent += len(records)
	f.mu.Unlock()
	if !dead {
		f.origins[to].Merge(records)
	}
}

func (f *fleet) PublishExpected(to ident.Router, record Record) {
	f.mu.Lock()
	dead := f.dead[to]
	f.sent++
	f.mu.Unlock()
	if !dead {
		f.origins[to].MergeExpected([]Record{record})
	}
}

func (f *fleet) FindOrigin(ctx context.Context, to ident.Router, key Key, service ident.Service) (Answer, error) {
	f.mu.Lock()
	dead := f.dead[to]
	f.asked++
	f.mu.Unlock()
	if dead {
		return Answer{}, errors.New("no answer")
	}
	return f.origins[to].Answer(ctx, key, service), nil
}

// targets adds a target of each version at all routers.
func (f *fleet) targets(list ...ident.Version) {
	for _, o := range f.origins {
		for _, version := range list {
			o.TargetAdded(Origin{Service: "s", Version: version})
		}
	}
}

func (f *fleet) find(at int, key Key) Found {
	return f.origins[f.routers[at].ID].Find(context.Background(), key, "s")
}

// begin begins a stream at a router.
func (f *fleet) begin(at int, key Key, version ident.Version) {
	f.origins[f.routers[at].ID].Began(Record{Key: key, Origin: Origin{Service: "s", Version: version}})
}

// Guards against streams that are lost, or go on at another version, once the router at which they began is
// gone, together with two of their keepers.
func TestOriginsSurviveTheirRouterAndTwoKeepers(t *testing.T) {
	for _, count := range []int{4, 8, 80} {
		f := newFleet(count)
		f.targets("v1", "v2")
		for i := range 200 {
			key := NewKey("w", fmt.Sprint(i))
			f.kill()
			f.begin(0, key, "v1")
			kept := keepers(bucketOf(key), "router-0", "co", f.live())
			f.kill("router-0", kept[0], kept[1])
			at := slices.IndexFunc(f.routers, func(r Router) bool { return !f.dead[r.ID] && r.ID != kept[2] })
			if at < 0 {
				at = slices.IndexFunc(f.routers, func(r Router) bool { return !f.dead[r.ID] })
			}
			got := f.find(at, key)
			if got.Version != "v1" || !got.Resumable() {
				t.Fatalf("%d routers, stream %d: %+v, want version v1", count, i, got)
			}
		}
	}
}

// Guards against keepers in one availability zone, which would be lost together.
func TestKeepersAreInDifferentZones(t *testing.T) {
	f := newFleet(8)
	zoneOf := map[ident.Router]ident.Zone{}
	for _, r := range f.routers {
		zoneOf[r.ID] = r.Zone
	}
	for bucket := range uint64(bucketCount) {
		zones := map[ident.Zone]bool{}
		for _, id := range keepers(bucket, "router-0", "co", f.routers) {
			zones[zoneOf[id]] = true
		}
		if len(zones) != 3 {
			t.Errorf("bucket %d: keepers in %d zones, want 3", bucket, len(zones))
		}
	}
}

// Guards against keepers that are not asked because routers have been removed since.
func TestRemainingKeepersAreAsked(t *testing.T) {
	f := newFleet(80)
	for bucket := range uint64(bucketCount) {
		kept := keepers(bucket, "router-0", "co", f.routers)
		remaining := slices.DeleteFunc(slices.Clone(f.routers), func(r Router) bool {
			return r.ID != kept[2] && ident.Mix(bucket, uint64(r.ID.Hash()))%2 == 0
		})
		if !slices.Contains(likelyKeepers(bucket, "", remaining), kept[2]) {
			t.Errorf("bucket %d: the keeper that remains is not asked", bucket)
		}
	}
}

// Guards against messages for streams that need none: while a service has one version, nothing is sent.
func TestNothingIsPublishedWithOneVersion(t *testing.T) {
	f := newFleet(8)
	f.targets("v1", "v1")
	f.begin(0, 1, "v1")
	f.kill("router-0")
	if f.sent != 0 {
		t.Errorf("%d origins published, want none", f.sent)
	}
	got := f.find(1, 1)
	want := Found{Origin: Origin{Service: "s", Version: "v1"}, Source: SingleVersion, Asked: got.Asked, Answered: got.Asked}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against streams that began before their service got another version, and that go on at that one.
func TestOriginsArePublishedWhenAVersionIsAdded(t *testing.T) {
	f := newFleet(8)
	f.targets("v1")
	f.begin(0, 1, "v1")
	f.targets("v2")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.origins["router-0"].Run(ctx)
	}()
	for f.sentCount() < keeperCount {
		<-time.After(time.Millisecond)
	}
	cancel()
	<-done
	f.kill("router-0")
	if got := f.find(1, 1); got.Version != "v1" || got.Source != Peer {
		t.Errorf("%+v, want version v1 from a peer", got)
	}
}

func (f *fleet) sentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

// Guards against guesses: a stream of which no router knows the beginning goes on only if its service had one
// version for as long as it may have lasted, as far as any router knows.
func TestUnknownOrigins(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fleet)
		want   Source
	}{
		{"one version", func(f *fleet) { f.targets("v1") }, SingleVersion},
		{"two versions", func(f *fleet) { f.targets("v1", "v2") }, Unknown},
		{"no target", func(*fleet) {}, Unknown},
		{"the other version is gone since a moment", func(f *fleet) {
			f.targets("v1", "v2")
			f.remove("v1")
			f.now = f.now.Add(Lifetime - time.Second)
		}, Unknown},
		{"the other version is gone since long", func(f *fleet) {
			f.targets("v1", "v2")
			f.remove("v1")
			f.now = f.now.Add(Lifetime)
		}, SingleVersion},
		{"only others have seen the other version", func(f *fleet) {
			f.targets("v1", "v2")
			f.start("router-0")
			f.origins["router-0"].TargetAdded(Origin{Service: "s", Version: "v2"})
		}, Unknown},
		{"no other router, and current rows", func(f *fleet) {
			f.targets("v1")
			f.rowsCurrent = true
			f.kill("router-1", "router-2", "router-3")
		}, SingleVersion},
		{"no other router answers", func(f *fleet) {
			f.targets("v1")
			f.cutOff()
		}, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(4)
			c.change(f)
			if got := f.find(0, 7); got.Source != c.want {
				t.Errorf("%+v, want %s", got, c.want)
			}
		})
	}
}

// remove removes a target of a version at all routers.
func (f *fleet) remove(version ident.Version) {
	for _, o := range f.origins {
		o.TargetRemoved(Origin{Service: "s", Version: version})
	}
}

// cutOff makes all routers unreachable without their removal.
func (f *fleet) cutOff() {
	f.origins["router-0"].Routers = func() []Router { return f.routers }
	var all []ident.Router
	for _, r := range f.routers {
		all = append(all, r.ID)
	}
	f.kill(all...)
}

// Guards against origins that are kept for ever, or beyond the memory of a box.
func TestOriginsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	kept := newRecentOrigins()
	kept.put(now, Record{Key: 1, Origin: Origin{Version: "v1"}}, true)
	kept.put(now.Add(Lifetime/2), Record{Key: 1, Origin: Origin{Version: "v1"}}, true)
	if _, found := kept.get(now.Add(Lifetime), 1); !found {
		t.Error("an origin that was recorded again has expired")
	}
	if _, found := kept.get(now.Add(Lifetime*3/2), 1); found {
		t.Error("an origin has not expired")
	}
	for i := range 2 * maxRecords {
		kept.put(now.Add(Lifetime), Record{Key: Key(i + 2)}, false)
	}
	if len(kept.entries) > maxRecords || len(kept.order) > maxRecords {
		t.Errorf("%d origins and %d insertions kept, want %d at most", len(kept.entries), len(kept.order), maxRecords)
	}
}

// Guards against callers that occupy the fleet with streams that never were.
func TestSearchesAreLimited(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	o := f.origins["router-0"]
	for range maxSearches {
		o.searches <- struct{}{}
	}
	got := f.find(0, 7)
	if diff := cmp.Diff(Found{Source: Overloaded}, got); diff != "" {
		t.Error(diff)
	}
	if f.asked != 0 {
		t.Errorf("%d routers asked, want none", f.asked)
	}
}

// Guards against a stream of one workspace that another one goes on with.
func TestKeysDifferByWorkspace(t *testing.T) {
	keys := map[Key]bool{}
	for _, workspace := range []ident.Workspace{"w", "v", "w1"} {
		for _, request := range []string{"1", "11", ""} {
			keys[NewKey(workspace, request)] = true
		}
	}
	if len(keys) != 9 {
		t.Errorf("%d keys of 9 streams", len(keys))
	}
}

// Guards against guesses by a router that has started after the earlier version went: while too many streams are
// looked up, it went by the versions that it has seen itself.
func TestNoGuessWithoutOtherRouters(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.remove("v1")
	f.start("router-0")
	restarted := f.origins["router-0"]
	restarted.TargetAdded(Origin{Service: "s", Version: "v2"})
	for range maxSearches {
		restarted.searches <- struct{}{}
	}
	if got := f.find(0, 7); got.Resumable() {
		t.Errorf("%+v, want an unknown origin", got)
	}
}

// Guards against guesses by a router that is cut off: as soon as it took all others for dead, it asked none and
// went by its own view of the versions, in which a later version may be missing.
func TestNoGuessWhileAllOthersCountAsDead(t *testing.T) {
	f := newFleet(4)
	f.targets("v1")
	f.find(0, 1)
	f.kill("router-1", "router-2", "router-3")
	if got := f.find(0, 7); got.Resumable() {
		t.Errorf("%+v, want an unknown origin", got)
	}
}

// Guards against a keeper that is not asked because the router that sent it the origin comes before it in the order
// of those that are asked: it is none of its own keepers.
func TestAllKeepersAreAskedWhileTheSenderIsListed(t *testing.T) {
	for _, count := range []int{4, 8, 24, 80} {
		f := newFleet(count)
		for bucket := range uint64(bucketCount) {
			asked := likelyKeepers(bucket, "", f.routers)
			for _, sender := range f.routers {
				for _, keeper := range keepers(bucket, sender.ID, "co", f.routers) {
					if !slices.Contains(asked, keeper) {
						t.Errorf("%d routers, bucket %d: keeper %s of %s is not asked", count, bucket, keeper, sender.ID)
					}
				}
			}
		}
	}
}
