package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// flush has each router write its origins.
func (f *fleet) flush() {
	for _, r := range f.routers {
		f.origins[r.ID].Flush(context.Background())
	}
}

// beginAll begins streams at all routers in turn, at two versions in turn. Half of them have only been expected.
func (f *fleet) beginAll(count int) map[Key]ident.Version {
	out := map[Key]ident.Version{}
	for i := range count {
		key, version := NewKey("w", fmt.Sprint(i)), ident.Version(fmt.Sprint("v", 1+i%2))
		o := f.origins[f.routers[i%len(f.routers)].ID]
		o.Expected(Record{Key: key, Origin: Origin{Service: "s", Version: version}})
		if i%4 < 2 {
			f.begin(i%len(f.routers), key, version)
		}
		out[key] = version
	}
	return out
}

// Guards against streams that cannot be resumed once all routers have restarted, though the version that began them
// still has targets, and against such streams that go on at the other version.
func TestOriginsOutliveAllRouters(t *testing.T) {
	for _, routers := range []int{1, 2, 4, 8, 80} {
		f := newFleet(routers)
		f.targets("v1", "v2")
		f.record()
		want := f.beginAll(400)
		f.flush()
		f.restartAll("v1", "v2")
		got := map[Key]ident.Version{}
		at := 0
		for key := range want {
			got[key] = f.find(at%routers, key).Version
			at++
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%d routers: %s", routers, diff)
		}
		if unknown := f.find(0, NewKey("w", "never begun")); unknown.Source != Unknown || !unknown.Lost {
			t.Errorf("%d routers, stream that never began: %+v", routers, unknown)
		}
	}
}

// Guards against origins that are lost because the routers end one after the other, as planned: what each has kept for
// others ends with it.
func TestOriginsOutliveRoutersThatStopInTurn(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	want := f.beginAll(100)
	for _, r := range f.routers {
		f.origins[r.ID].Flush(t.Context())
		f.start(r.ID)
		f.origins[r.ID].TargetAdded(Origin{Service: "s", Version: "v1"})
		f.origins[r.ID].TargetAdded(Origin{Service: "s", Version: "v2"})
		f.record()
	}
	for key, version := range want {
		if got := f.find(0, key); got.Version != version {
			t.Errorf("stream %s: %+v, want version %s", key, got, version)
		}
	}
}

// Guards against a stream that goes on at the version of a first attempt which brought nothing.
func TestExpectedVersionsAreNoOrigins(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(o *Origins)
		want  ident.Version
	}{
		{"expected at one version", func(o *Origins) { o.Expected(record(7, "v1")) }, "v1"},
		{"began as expected", func(o *Origins) {
			o.Expected(record(7, "v1"))
			o.Began(record(7, "v1"))
		}, "v1"},
		{"began at another one", func(o *Origins) {
			o.Expected(record(7, "v1"))
			o.BeganUnexpectedly(record(7, "v2"))
		}, "v2"},
		{"expected at two by routers that the caller tried", func(o *Origins) {
			o.Expected(record(7, "v1"))
			o.Expected(record(7, "v2"))
		}, ""},
	} {
		for _, routers := range []int{1, 4} {
			for at := range routers {
				f := newFleet(routers)
				f.targets("v1", "v2")
				f.record()
				c.begin(f.origins[f.routers[at].ID])
				f.flush()
				f.restartAll("v1", "v2")
				if got := f.find(0, 7); got.Version != c.want {
					t.Errorf("%s, at router %d of %d: %+v, want version %q", c.name, at, routers, got, c.want)
				}
			}
		}
	}
}

// Guards against an unexpected origin that is not in the store yet when the caller has its first part.
func TestUnexpectedOriginIsWrittenAtOnce(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	f.origins["router-0"].Expected(record(7, "v1"))
	f.flush()
	f.origins["router-0"].BeganUnexpectedly(record(7, "v2"))
	f.restartAll("v1", "v2")
	if got := f.find(1, 7); got.Version != "v2" {
		t.Errorf("%+v, want version v2", got)
	}
}

// Guards against a known version that a router forgets because the store has another record of the stream, or that a
// later read overwrites.
func TestArchiveDoesNotOverrideWhatIsKnown(t *testing.T) {
	f := newFleet(1)
	f.targets("v1", "v2")
	f.record()
	o := f.origins["router-0"]
	o.Expected(record(7, "v1"))
	f.flush()
	o.Merge([]Record{record(7, "v2")})
	o.Answer(t.Context(), 7+bucketCount, "s")
	if got := f.find(0, 7); got.Version != "v2" || got.Source != Own {
		t.Errorf("%+v, want version v2", got)
	}
}

// Guards against origins that are dropped because the store did not accept them at once.
func TestOriginsAreWrittenOnceTheStoreIsBack(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	f.store.setAway(true)
	want := f.beginAll(100)
	f.flush()
	f.store.setAway(false)
	f.flush()
	f.restartAll("v1", "v2")
	for key, version := range want {
		if got := f.find(0, key); got.Version != version {
			t.Errorf("stream %s: %+v, want version %s", key, got, version)
		}
	}
}

// Guards against a search that calls an origin lost although a router could not read the store, so that the caller does
// not return.
func TestOriginIsNotLostWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(3)
	f.targets("v1", "v2")
	f.record()
	f.beginAll(1)
	f.flush()
	f.restartAll("v1", "v2")
	f.store.setAway(true)
	key := NewKey("w", "0")
	if got := f.find(0, key); got.Source != Unknown || got.Lost {
		t.Errorf("%+v, want an unknown origin that may be found later", got)
	}
	f.store.setAway(false)
	f.now = f.now.Add(loadInterval)
	if got := f.find(0, key); got.Version != "v1" {
		t.Errorf("once the store is back: %+v, want version v1", got)
	}
}

// Guards against writes for streams of services that have one version.
func TestNothingIsArchivedWithOneVersion(t *testing.T) {
	f := newFleet(8)
	f.targets("v1")
	f.record()
	before := f.store.writes
	o := f.origins["router-0"]
	for key := range Key(100) {
		o.Expected(record(key, "v1"))
		o.Began(record(key, "v1"))
	}
	f.flush()
	if len(f.store.rows[OriginTable]) > 0 || f.store.writes != before || f.sent > 0 {
		t.Errorf("%d rows, %d writes, %d messages", len(f.store.rows[OriginTable]), f.store.writes-before, f.sent)
	}
}

// Guards against rows that stay in the store for ever, and against the removal of those that are still needed.
func TestExpiredArchiveIsRemoved(t *testing.T) {
	f := newFleet(2)
	f.targets("v1", "v2")
	f.record()
	sweep := func() {
		for _, r := range f.routers {
			f.origins[r.ID].sweepArchive(t.Context())
		}
	}
	f.beginAll(50)
	f.flush()
	rows := len(f.store.rows[OriginTable])
	sweep()
	if got := len(f.store.rows[OriginTable]); got != rows {
		t.Errorf("%d rows after the first sweep, want %d", got, rows)
	}
	f.now = f.now.Add(Lifetime)
	f.begin(0, NewKey("w", "later"), "v1")
	f.flush()
	f.restartAll("v1", "v2")
	sweep()
	f.now = f.now.Add(Lifetime)
	f.targets("v1", "v2")
	sweep()
	if got := len(f.store.rows[OriginTable]); got != 0 {
		t.Errorf("%d rows after all have expired, want none", got)
	}
}

// Guards against a row that a slow write sets back to an earlier state, and against rows without a limit.
func TestSegmentsAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newArchive("self", now)
	for key := range Key(2 * maxSegmentRecords) {
		a.add(now, 0, archivedRecord{Record: record(key+1, "v1")})
	}
	_, records := a.pending()
	for _, count := range records {
		if count != maxSegmentRecords {
			t.Errorf("%d records in a segment, want %d", count, maxSegmentRecords)
		}
	}
	a.written(now, records)
	a.add(now, 0, archivedRecord{Record: record(1, "v2")})
	if puts, _ := a.pending(); len(puts) != 1 {
		t.Errorf("%d rows to write after the full one, want another one", len(puts))
	}
}
