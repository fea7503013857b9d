package feed

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

const (
	// routersPerZone is the number of routers in one availability zone of a fleet of 300,
	// childrenPerParent how many of them read from one parent.
	routersPerZone    = 50
	childrenPerParent = 16
	// backupReaders is the number of routers that retry a hanging store as often as the reader does.
	backupReaders = 4
	// storeLatency is the latency of the store. A message between routers takes a tenth of it.
	storeLatency = 4 * time.Millisecond
)

// fakeZone is a fake store and the routers of one availability zone, in virtual time.
type fakeZone struct {
	mu      sync.Mutex
	hanging bool
	version table.Version
	calls   int
	boards  map[ident.Router]*Replicas
	// era grows with each store rollback; fullReads counts full reads.
	era       table.Era
	fullReads int
}

// call counts a call and blocks while the store hangs.
func (z *fakeZone) call(ctx context.Context) (table.Position, error) {
	z.mu.Lock()
	z.calls++
	hanging, at := z.hanging, posIn(z.era, z.version)
	z.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return at, fault.New("test", table.Unavailable, ctx.Err())
	}
	pause.Sleep(ctx, storeLatency)
	return at, nil
}

func (z *fakeZone) All(ctx context.Context, _ table.Name) (table.Page, error) {
	at, err := z.call(ctx)
	z.mu.Lock()
	z.fullReads++
	z.mu.Unlock()
	return fullPageIn(at.Era, at.Version, rowIn(at.Era, "a", at.Version, "")), err
}

func (z *fakeZone) Changes(ctx context.Context, _ table.Name, after table.Version, wait time.Duration) (table.Page, error) {
	at, err := z.call(ctx)
	if err == nil && at.Version < after {
		return table.Page{}, fault.New("test", table.Compacted, nil)
	}
	if err != nil || at.Version > after {
		return deltaPageIn(at.Era, at.Version, rowIn(at.Era, "a", at.Version, "")), err
	}
	pause.Sleep(ctx, wait)
	return table.Page{At: at}, nil
}

func (z *fakeZone) AdvanceTo(table.Era) {}

// zonePeers implements Peers for one router of the zone.
type zonePeers struct {
	zone *fakeZone
	self ident.Router
}

func (z zonePeers) Rows(ctx context.Context, from ident.Router, have []State, wait time.Duration) ([]Reply, error) {
	pause.Sleep(ctx, storeLatency/10)
	b := z.zone.boards[from]
	after := map[table.Name]table.Position{}
	for _, s := range have {
		after[s.Table] = s.At
	}
	b.Wait(ctx, after, wait)
	var out []Reply
	for _, s := range have {
		if page, known := b.Since(s); known {
			out = append(out, Reply{Table: s.Table, Page: page})
		}
	}
	return out, nil
}

func (z zonePeers) Candidates() []ident.Router {
	var out []ident.Router
	for i := range routersPerZone {
		if id := routerAt(i); id != z.self {
			out = append(out, id)
		}
	}
	return out
}

func routerAt(i int) ident.Router { return ident.Router("r" + strconv.Itoa(i)) }

// run runs the routers until the context ends, the first one as the reader.
func (z *fakeZone) run(ctx context.Context, wg *sync.WaitGroup) {
	for i := range routersPerZone {
		b := NewReplicas(log.NewNopLogger(), time.Now)
		b.AddTable(tableName, Rules{MissingRowTTL: RemovalGracePeriod}, nil)
		z.boards[routerAt(i)] = b
	}
	for i := range routersPerZone {
		id := routerAt(i)
		roles := NewRoles()
		if i > 0 {
			roles.Assign(false, routerAt((i-1)/childrenPerParent))
			roles.SetBackupReader(i <= backupReaders)
		}
		f := NewFollower(z.boards[id], z, tableName, DefaultTiming, roles, log.NewNopLogger(), uint64(i))
		p := NewPuller(z.boards[id], zonePeers{z, id}, []table.Name{tableName}, DefaultTiming, roles, log.NewNopLogger(), time.Now)
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() { p.Run(ctx) })
	}
}

// setHanging makes the store hang or respond again, and returns the number of calls so far.
func (z *fakeZone) setHanging(hanging bool) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.hanging = hanging
	return z.calls
}

// lagging returns the number of routers that do not have the latest version.
func (z *fakeZone) lagging() int {
	n := 0
	for _, b := range z.boards {
		if at, _ := b.Position(tableName); at.Before(posIn(z.era, z.version)) {
			n++
		}
	}
	return n
}

// The store hangs for eight seconds, and a change made meanwhile must reach all routers soon after.
// When a parent's replica becomes stale, its children must not all call the store: in a zone of 49
// routers that would be 31 calls a second, or 376 for a fleet of six such zones and two tables,
// which a recovering store has to serve besides its other load.
func TestCallsToHangingStore(t *testing.T) {
	const (
		outageTime = 8 * time.Second
		// maxCalls limits the calls of the zone to a hanging store: those of the reader and its
		// backups, which each time out after 1.3 s, and two from each other router.
		maxCalls = (1+backupReaders)*8 + 2*routersPerZone
		// maxDelay is how long a change may take to reach all routers after the store's recovery.
		maxDelay = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		z := &fakeZone{version: 1, boards: map[ident.Router]*Replicas{}}
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		z.run(ctx, &wg)
		pause.Sleep(ctx, 5*time.Second)
		before := z.setHanging(true)
		pause.Sleep(ctx, outageTime)
		z.mu.Lock()
		z.version++
		z.mu.Unlock()
		calls := z.setHanging(false) - before
		t.Logf("%d calls to a store that hangs for %v", calls, outageTime)
		if calls > maxCalls {
			t.Errorf("%d calls to a store that hangs for %v, want %d at most", calls, outageTime, maxCalls)
		}
		began := time.Now()
		for z.lagging() > 0 && time.Since(began) < 10*time.Second {
			pause.Sleep(ctx, 10*time.Millisecond)
		}
		if took := time.Since(began); took > maxDelay {
			t.Errorf("a change reached all routers %v after the store's recovery, want %v at most", took, maxDelay)
		} else {
			t.Logf("a change reached all routers after %v", took)
		}
	})
}

// The store hangs for two seconds and is restored from an older snapshot. Every router that called
// it meanwhile, because its parent was stale, detects a new era and needs a full snapshot, about 1
// MB for 3,100 targets. Only the readers may read it from the store; the other routers get it from
// them.
func TestStoreRollbackInZone(t *testing.T) {
	const (
		// maxFullReads limits the routers of a zone that read the full table: its reader, and the
		// backup readers, which call the store as often.
		maxFullReads = 1 + backupReaders
		// maxDelay is how long the new era may take to reach all routers after the store's recovery.
		maxDelay = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		z := &fakeZone{version: 36, era: 1, boards: map[ident.Router]*Replicas{}}
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		z.run(ctx, &wg)
		pause.Sleep(ctx, 5*time.Second)
		z.setHanging(true)
		pause.Sleep(ctx, 2*time.Second)
		z.mu.Lock()
		z.version, z.era, z.fullReads = 32, 2, 0
		z.mu.Unlock()
		z.setHanging(false)
		began := time.Now()
		for z.lagging() > 0 && time.Since(began) < 10*time.Second {
			pause.Sleep(ctx, 10*time.Millisecond)
		}
		took := time.Since(began)
		t.Logf("the new era reached all routers after %v, with %d full reads", took, z.fullReads)
		if took > maxDelay {
			t.Errorf("the new era reached all routers %v after the store's recovery, want %v at most", took, maxDelay)
		}
		pause.Sleep(ctx, 5*time.Second)
		if z.fullReads > maxFullReads {
			t.Errorf("%d of %d routers read the full table, want %d at most", z.fullReads, routersPerZone, maxFullReads)
		}
	})
}
