package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// restartAll ends all routers at once and starts them again under their names. They see targets of some versions.
func (f *fleet) restartAll(versions ...ident.Version) {
	for _, r := range f.routers {
		f.start(r.ID)
	}
	f.targets(versions...)
	f.record()
}

// record has each router read and write the table of versions as its role requires.
func (f *fleet) record() {
	for _, r := range f.routers {
		// The store may be away.
		_ = f.origins[r.ID].stepRecord(context.Background())
	}
}

// Guards against streams that go on at another version after all routers have restarted: those that run then have
// seen one version only, for seconds, and took that for all that the service had.
func TestRestartedRoutersKnowEarlierVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after are the versions that have targets before and after the restart, in turn with gone ones.
		run  func(f *fleet)
		want Source
	}{
		{"one version all along", func(f *fleet) { f.restartAll("v1") }, SingleVersion},
		{"replaced before the restart", func(f *fleet) {
			f.targets("v2")
			f.record()
			f.remove("v1")
			f.restartAll("v2")
		}, Unknown},
		{"replaced while no router lived", func(f *fleet) { f.restartAll("v2") }, Unknown},
		{"added while no router lived", func(f *fleet) { f.restartAll("v1", "v2") }, Unknown},
		{"back to the version before", func(f *fleet) {
			f.targets("v2")
			f.record()
			f.remove("v1")
			f.restartAll("v1")
		}, Unknown},
		{"restarted twice", func(f *fleet) {
			f.restartAll("v2")
			f.restartAll("v2")
		}, Unknown},
		{"replaced long ago", func(f *fleet) {
			f.targets("v2")
			f.record()
			f.remove("v1")
			f.now = f.now.Add(Lifetime)
			f.record()
			f.restartAll("v2")
		}, SingleVersion},
		{"long after the restart", func(f *fleet) {
			f.restartAll("v2")
			f.now = f.now.Add(Lifetime)
		}, SingleVersion},
	} {
		for _, routers := range []int{1, 4} {
			f := newFleet(routers)
			f.rowsCurrent = true
			f.targets("v1")
			f.record()
			f.now = f.now.Add(time.Second)
			c.run(f)
			if got := f.find(0, 7); got.Source != c.want {
				t.Errorf("%s, %d routers: %+v, want %s", c.name, routers, got, c.want)
			}
		}
	}
}

// Guards against a router that takes what it has seen since its start for all that the service had, while it cannot
// read the store; another router that knows all versions may say so.
func TestRouterThatCannotReadTheStore(t *testing.T) {
	f := newFleet(3)
	f.targets("v1")
	f.record()
	f.store.setAway(true)
	f.start("router-0")
	f.origins["router-0"].TargetAdded(Origin{Service: "s", Version: "v1"})
	if got := f.find(0, 7); got.Source != SingleVersion {
		t.Errorf("with peers that know all versions: %+v", got)
	}
	f.restartAll("v1")
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("all have just started: %+v", got)
	}
	f.store.setAway(false)
	f.record()
	if got := f.find(0, 7); got.Source != SingleVersion {
		t.Errorf("once the store is back: %+v", got)
	}
}

// Guards against a router that was suspended while its service got another version and lost it again.
func TestSuspendedRouterReadsTheVersionsAgain(t *testing.T) {
	f := newFleet(1)
	f.rowsCurrent = true
	f.targets("v1")
	f.record()
	woke := time.Time{}
	sleeper := f.origins["router-0"]
	sleeper.WokeAt = func() time.Time { return woke }
	f.start("router-0")
	f.targets("v1", "v2")
	f.record()
	f.now = f.now.Add(10 * time.Second)
	woke = f.now
	f.origins["router-0"] = sleeper
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("after the suspension: %+v", got)
	}
	f.record()
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("after the table was read: %+v", got)
	}
	f.now = f.now.Add(Lifetime)
	if got := f.find(0, 7); got.Source != SingleVersion {
		t.Errorf("once streams of the other version have ended: %+v", got)
	}
}

// Guards against a router that starts after the store was restored from an older snapshot, and that takes the table of
// versions there for complete.
func TestRestoredTableOfVersionsIsIncomplete(t *testing.T) {
	f := newFleet(2)
	f.targets("v1")
	f.record()
	older := copyRows(f.store.rows)
	f.targets("v2")
	f.record()
	f.remove("v1")
	f.store.rows, f.store.era = older, f.store.era+1
	lived := f.origins["router-0"]
	for _, r := range f.routers {
		f.start(r.ID)
		f.origins[r.ID].TargetAdded(Origin{Service: "s", Version: "v2"})
	}
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("all have started after the setback: %+v", got)
	}
	f.restartAll("v1")
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("all have started after the setback, back at the version before: %+v", got)
	}
	lived.StoreRestored()
	if err := lived.stepRecord(t.Context()); err != nil {
		t.Fatal(err)
	}
	record, err := decodeRecord(page(t, f.store, VersionTable), f.now)
	if err != nil || !record.complete {
		t.Errorf("written by a router that lived: %+v, error %v, want a complete table", record, err)
	}
	if diff := cmp.Diff([]ident.Version{"v1", "v2"}, versionsInStore(t, f)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a router that relies on its own minute of observation although it was suspended within it.
func TestSuspensionInterruptsOwnObservation(t *testing.T) {
	f := newFleet(1)
	f.rowsCurrent = true
	f.targets("v1")
	o := f.origins["router-0"]
	f.now = f.now.Add(2 * Lifetime)
	f.store.setAway(true)
	woke := f.now
	o.WokeAt = func() time.Time { return woke }
	for _, c := range []struct {
		after time.Duration
		want  Source
	}{{0, Unknown}, {Lifetime - 1, Unknown}, {Lifetime, SingleVersion}} {
		f.now = woke.Add(c.after)
		f.record()
		if got := f.find(0, 7); got.Source != c.want {
			t.Errorf("%s after the suspension: %+v, want %s", c.after, got, c.want)
		}
	}
}

// Guards against a router that was suspended while the store was set back, and that takes the table there for complete
// because it knew all versions before.
func TestSuspensionDuringASetback(t *testing.T) {
	f := newFleet(1)
	f.rowsCurrent = true
	f.targets("v1")
	f.record()
	f.store.era++
	f.now = f.now.Add(time.Second)
	woke := f.now
	f.origins["router-0"].WokeAt = func() time.Time { return woke }
	f.record()
	if got := f.find(0, 7); got.Source != Unknown {
		t.Errorf("%+v, want an unknown origin", got)
	}
}

// versionsInStore returns the versions of service s in the table of versions.
func versionsInStore(t *testing.T, f *fleet) []ident.Version {
	t.Helper()
	record, err := decodeRecord(page(t, f.store, VersionTable), f.now)
	if err != nil {
		t.Fatal(err)
	}
	return record.services["s"].versions
}

// Guards against a version that the store loses, and that nobody writes again because it has no targets any more.
func TestLostVersionWithoutTargetsIsWrittenAgain(t *testing.T) {
	f := newFleet(1)
	f.targets("v1")
	f.record()
	older := copyRows(f.store.rows)
	f.targets("v2")
	f.record()
	f.remove("v2")
	f.store.rows, f.store.era = older, f.store.era+1
	f.origins["router-0"].StoreRestored()
	f.record()
	if diff := cmp.Diff([]ident.Version{"v1", "v2"}, versionsInStore(t, f)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a version that has gone again before the store accepts writes, and that is never written.
func TestShortLivedVersionIsWritten(t *testing.T) {
	f := newFleet(1)
	f.targets("v1")
	f.record()
	f.store.setAway(true)
	f.targets("v2")
	f.record()
	f.remove("v2")
	f.store.setAway(false)
	f.record()
	if diff := cmp.Diff([]ident.Version{"v1", "v2"}, versionsInStore(t, f)); diff != "" {
		t.Error(diff)
	}
}

// copyRows copies the rows of all tables.
func copyRows(rows map[table.Name]map[table.Key]table.Row) map[table.Name]map[table.Key]table.Row {
	out := map[table.Name]map[table.Key]table.Row{}
	for name, list := range rows {
		out[name] = map[table.Key]table.Row{}
		for key, row := range list {
			out[name][key] = row
		}
	}
	return out
}

// page reads a table.
func page(t *testing.T, s *memoryStore, name table.Name) table.Page {
	t.Helper()
	out, err := s.All(t.Context(), name)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against routers that write the table of versions against each other: one that started later keeps a version
// for longer than the one that has removed it.
func TestVersionsAreWrittenOnce(t *testing.T) {
	f := newFleet(3)
	f.targets("v1")
	f.record()
	f.targets("v2")
	f.record()
	f.remove("v1")
	for second := range 180 {
		if second == 30 {
			f.start("router-2")
			f.origins["router-2"].TargetAdded(Origin{Service: "s", Version: "v2"})
		}
		f.now = f.now.Add(time.Second)
		f.record()
	}
	// The first era and versions, the second version, the removal of the first one: one write of each counts.
	if f.store.version != 4 {
		t.Errorf("%d writes were accepted, want 4", f.store.version)
	}
	if f.store.writes > 16 {
		t.Errorf("%d writes were tried", f.store.writes)
	}
}

// Guards against a table of versions that nobody writes because the routers whose task it is cannot reach the store,
// and against backups that write at once, all of them.
func TestBackupsWriteVersionsLate(t *testing.T) {
	f := newFleet(1)
	f.record()
	o := f.origins["router-0"]
	o.Role = func() Role { return WritesLate }
	o.TargetAdded(Origin{Service: "s", Version: "v1"})
	written := func() int {
		f.record()
		return len(f.store.rows[VersionTable])
	}
	before := written()
	f.now = f.now.Add(backupDelay - 1)
	if got := written(); got != before {
		t.Errorf("%d rows before the delay, want %d", got, before)
	}
	f.now = f.now.Add(1)
	if got := written(); got != before+1 {
		t.Errorf("%d rows after the delay, want %d", got, before+1)
	}
	o.Role = func() Role { return OnlyReads }
	o.TargetAdded(Origin{Service: "other", Version: "v1"})
	f.now = f.now.Add(time.Minute)
	if got := written(); got != before+1 {
		t.Errorf("%d rows, want %d: this router does not write", got, before+1)
	}
}

// Guards against a service whose row cannot be written because there are more services than a transaction may hold.
func TestVersionsOfManyServices(t *testing.T) {
	f := newFleet(1)
	const services = 3*maxServicesPerTxn + 1
	for i := range services {
		f.origins["router-0"].TargetAdded(Origin{Service: ident.Service(fmt.Sprint("s-", i)), Version: "v1"})
	}
	f.record()
	record, err := decodeRecord(page(t, f.store, VersionTable), f.now)
	if err != nil {
		t.Fatal(err)
	}
	if len(record.services) != services {
		t.Errorf("%d services recorded, want %d", len(record.services), services)
	}
}
