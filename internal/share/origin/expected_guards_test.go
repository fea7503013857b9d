package origin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Guards against a stream that begins at another version than expected, after routers have read the expected one from the store and
// keep it: any of them would send its caller to the version of the failed attempt.
func TestExpectedVersionIsNoOriginOfAStreamInFlight(t *testing.T) {
	f := newFleet(8)
	f.targets("v1", "v2")
	f.record()
	x := f.origins["router-0"]
	x.Expected(record(7, "v1"))
	f.flush()
	f.find(0, unknownInBucket(7)) // another caller
	f.now = f.now.Add(5 * time.Second)
	x.BeganUnexpectedly(record(7, "v2"))
	for at := range 8 {
		if got := f.find(at, 7); got.Version != "v2" {
			t.Errorf("at router %d: %+v, want v2", at, got)
		}
	}
}

func unknownInBucket(k Key) Key {
	for i := Key(1000); ; i++ {
		if bucketOf(i) == bucketOf(k) {
			return i
		}
	}
}

// Guards against an empty table of versions that counts as complete because the store was set back to before the first write.
func TestSetbackToBeforeTheTableOfVersions(t *testing.T) {
	f := newFleet(2)
	f.targets("v1")
	older := map[table.Name]map[table.Key]table.Row{}
	f.record()
	f.targets("v2")
	f.record()
	f.remove("v1")
	f.store.rows, f.store.era = older, f.store.era+1
	f.restartAll("v2")
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("%+v, want unknown", got)
	}
}

// Guards against a stream that was expected at two versions and is refused although it is known where it began.
func TestStreamExpectedAtTwoVersionsGoesOnWhereItBegan(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	f.origins["router-0"].Expected(record(7, "v1"))
	f.origins["router-1"].Expected(record(7, "v2"))
	f.origins["router-1"].Began(record(7, "v2"))
	f.flush()
	f.restartAll("v1", "v2")
	if got := f.find(0, 7); got.Version != "v2" {
		t.Errorf("%+v, want v2", got)
	}
}

// lateStore lets the first commit fail and take effect later.
type lateStore struct {
	Store
	fail bool
	late []table.Txn
}

func (s *lateStore) Commit(ctx context.Context, txn table.Txn) error {
	if s.fail {
		s.late = append(s.late, txn)
		return context.DeadlineExceeded
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against a row of origins that a write sets back which timed out and takes effect after a later one.
func TestTimedOutWriteDoesNotSetARowBack(t *testing.T) {
	f := newFleet(1)
	f.targets("v1", "v2")
	f.record()
	o := f.origins["router-0"]
	late := &lateStore{Store: f.store, fail: true}
	o.Store = late
	o.Expected(record(7, "v1"))
	o.Flush(t.Context())
	late.fail = false
	o.BeganUnexpectedly(record(7, "v2"))
	for _, txn := range late.late {
		_ = f.store.Commit(t.Context(), txn)
	}
	f.restartAll("v1", "v2")
	if got := f.find(0, 7); got.Version == "v1" {
		t.Errorf("%+v, want v2", got)
	}
}

// Guards against a version that a suspended router saw go, that came back meanwhile, and that the router removes from the table too early.
func TestSuspendedWriterKeepsVersionsOfTheMeantime(t *testing.T) {
	f := newFleet(2)
	f.targets("v1", "v2")
	f.record()
	f.remove("v1")
	f.record()
	f.now = f.now.Add(10 * time.Second)
	sleeper := f.origins["router-0"]
	woke := time.Time{}
	sleeper.WokeAt = func() time.Time { return woke }
	other := f.origins["router-1"]
	f.now = f.now.Add(20 * time.Second)
	other.TargetAdded(Origin{Service: "s", Version: "v1"})
	f.now = f.now.Add(20 * time.Second)
	other.TargetRemoved(Origin{Service: "s", Version: "v1"}) // at 50 s
	woke = f.now
	_ = sleeper.stepRecord(t.Context())
	f.now = f.now.Add(11 * time.Second)
	_ = sleeper.stepRecord(t.Context())
	f.restartAll("v2")
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("v1 went 11 s ago: %+v, want unknown", got)
	}
}

// hangingStore does not answer until the context ends.
type hangingStore struct{ Store }

func (hangingStore) Commit(ctx context.Context, _ table.Txn) error { <-ctx.Done(); return ctx.Err() }
func (hangingStore) Range(ctx context.Context, _ table.Name, _, _ table.Key) (table.Page, error) {
	<-ctx.Done()
	return table.Page{}, ctx.Err()
}

// Guards against routers that wait for a slow store until the one that asks takes them for unreachable and refuses the stream.
// there is one version refuses.
func TestSlowStoreDoesNotHoldBackAnswersOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.targets("v1")
		f.record()
		for i := 1; i < 4; i++ {
			id := ident.Router(fmt.Sprint("router-", i))
			f.store.setAway(true)
			f.start(id)
			f.store.setAway(false)
			f.origins[id].Store = hangingStore{f.store}
			f.origins[id].TargetAdded(Origin{Service: "s", Version: "v1"})
		}
		o := f.origins["router-0"]
		o.Store = hangingStore{f.store}
		o.Peers = deadlinePeers{f}
		started := time.Now()
		if got := o.Find(t.Context(), 7, "s"); got.Source != SingleVersion {
			t.Errorf("%+v after %s, want single version", got, time.Since(started))
		}
		<-time.After(2 * time.Second)
	})
}

// deadlinePeers fail once the context has ended, as a call over a connection does.
type deadlinePeers struct{ Peers }

func (p deadlinePeers) FindOrigin(ctx context.Context, to ident.Router, key Key, service ident.Service) (Answer, error) {
	a, err := p.Peers.FindOrigin(ctx, to, key, service)
	if ctx.Err() != nil {
		return Answer{}, ctx.Err()
	}
	return a, err
}

// Guards against one row that cannot be decoded and makes the table of versions useless for good.
func TestDamagedRowOfVersionsIsReplaced(t *testing.T) {
	f := newFleet(2)
	f.targets("v1")
	f.record()
	f.store.rows[VersionTable]["service/old"] = table.Row{Table: VersionTable, Key: "service/old", Version: 99, Value: []byte(`[]`)}
	f.restartAll("v1")
	for range 300 {
		f.now = f.now.Add(time.Second)
		f.record()
	}
	f.restartAll("v1")
	if got := f.find(0, 7); got.Source != SingleVersion {
		t.Errorf("%+v, want single version", got)
	}
}

// Guards against a store that is set back to a moment at which it had the expected version of a stream that began at another one.
func TestSetbackToExpectedVersionsOnly(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	f.origins["router-0"].Expected(record(7, "v1"))
	f.flush()
	older := copyRows(f.store.rows)
	f.origins["router-0"].BeganUnexpectedly(record(7, "v2"))
	f.store.rows, f.store.era = older, f.store.era+1
	f.restartAll("v1", "v2")
	if got := f.find(1, 7); got.Version == "v1" {
		t.Errorf("%+v, want unknown", got)
	}
}

// Guards against an unexpected origin that the store does not accept, so that only the version of the failed attempt is there.
func TestUnexpectedOriginWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	f.origins["router-0"].Expected(record(7, "v1"))
	f.flush()
	f.store.setAway(true)
	f.origins["router-0"].BeganUnexpectedly(record(7, "v2"))
	for _, r := range f.routers {
		f.start(r.ID)
	}
	f.store.setAway(false)
	f.record()
	f.targets("v1", "v2")
	if got := f.find(1, 7); got.Version == "v1" {
		t.Errorf("%+v, want unknown", got)
	}
}

// Guards against a second try under the same request ID that begins at another router and version before anything of it is written.
func TestSecondTryThatBeginsBeforeTheWrite(t *testing.T) {
	f := newFleet(4)
	f.targets("v1", "v2")
	f.record()
	f.origins["router-0"].Expected(record(7, "v1"))
	f.flush()
	f.origins["router-1"].Expected(record(7, "v2"))
	f.origins["router-1"].Began(record(7, "v2"))
	f.restartAll("v1", "v2")
	if got := f.find(1, 7); got.Version == "v1" {
		t.Errorf("%+v, want unknown", got)
	}
}

// restoringStore reports a setback while a read is under way.
type restoringStore struct {
	Store
	during func()
}

func (s *restoringStore) All(ctx context.Context, name table.Name) (table.Page, error) {
	page, err := s.Store.All(ctx, name)
	if s.during != nil {
		s.during()
		s.during = nil
	}
	return page, err
}

// Guards against a setback of the store that is noticed during a read of the table of versions and forgotten after it.
func TestSetbackDuringAReadOfVersions(t *testing.T) {
	f := newFleet(1)
	f.targets("v1")
	f.record()
	older := copyRows(f.store.rows)
	f.targets("v2")
	o := f.origins["router-0"]
	reads := 0
	store := &restoringStore{Store: f.store}
	o.Store = store
	store.during = func() {
		reads++
		f.store.rows, f.store.era = older, f.store.era+1
		o.StoreRestored()
	}
	f.record()
	f.record()
	f.now = f.now.Add(5 * time.Second)
	f.record()
	r, err := decodeRecord(page(t, f.store, VersionTable), f.now)
	if err != nil || !r.complete || len(r.services["s"].versions) != 2 {
		t.Errorf("complete %t, %v, %v", r.complete, r.services, err)
	}
}
