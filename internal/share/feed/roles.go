package feed

import (
	"context"
	"sync"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// Roles determines which sources a router reads from: the store, a peer, or, if one of them fails,
// any that responds.
//
// A few readers read from the store and the other routers read from them, so that the number of
// calls to the store does not grow with the fleet. Being a reader gives no authority: with two
// readers, or none for a moment, the replicas stay correct, and only the number of calls or the age
// changes.
type Roles struct {
	mu sync.Mutex
	// reader is set if this router reads from the store.
	reader bool
	// parent is the router that a router other than a reader reads from.
	parent ident.Router
	// failing contains the tables for which calls to the store fail.
	failing map[table.Name]bool
	// alsoStore is set while this router cannot serve because it lacks a first copy of a table.
	alsoStore bool
	// alsoPeers is set while the store has not returned a first copy within the expected time.
	alsoPeers bool
	// consulting is set until a peer has returned its state after this router's start: the store
	// alone may have an older configuration than the one in force.
	consulting bool
	// peersStale is set while no peer has fresh data.
	peersStale bool
	// backupReader is set if this router retries a failing store as often as a reader does: a single
	// reader may be rejected, or still be waiting for a response when the store has recovered.
	backupReader bool
	// peersUp is set while peers respond, even with stale pages.
	peersUp bool
	// changed is closed and replaced whenever the sources to read from may have changed.
	changed chan struct{}
}

// NewRoles returns the roles of a router that has no peers yet and reads from the store.
func NewRoles() *Roles {
	return &Roles{reader: true, failing: map[table.Name]bool{}, changed: make(chan struct{})}
}

// Assign makes this router a reader, or sets the parent to read from.
func (r *Roles) Assign(reader bool, parent ident.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reader == reader && r.parent == parent {
		return
	}
	r.reader, r.parent = reader, parent
	r.peersStale = false
	r.notify()
}

// SetBackupReader sets whether this router is a backup reader of its availability zone.
func (r *Roles) SetBackupReader(backupReader bool) { r.set(&r.backupReader, backupReader) }

// BackupReader returns whether this router is a backup reader of its availability zone.
func (r *Roles) BackupReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backupReader
}

// Reader returns whether this router is a reader, and its parent if it is not.
func (r *Roles) Reader() (reader bool, parent ident.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader, r.parent
}

// notify wakes the waiting callers. The caller holds the lock.
func (r *Roles) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetAlsoStore sets whether a router that is no reader also reads from the store.
func (r *Roles) SetAlsoStore(alsoStore bool) { r.set(&r.alsoStore, alsoStore) }

// SetAlsoPeers sets whether a reader also reads from peers.
func (r *Roles) SetAlsoPeers(alsoPeers bool) { r.set(&r.alsoPeers, alsoPeers) }

// SetConsulting sets whether this router reads from peers regardless of its role.
func (r *Roles) SetConsulting(consulting bool) { r.set(&r.consulting, consulting) }

// Consulted reports whether the consultation of peers is over.
func (r *Roles) Consulted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.consulting
}

// setPeersStale records whether no peer has fresh data.
func (r *Roles) setPeersStale(stale bool) { r.set(&r.peersStale, stale) }

// setPeersUp records whether peers respond at all.
func (r *Roles) setPeersUp(up bool) { r.set(&r.peersUp, up) }

// leavesStoreToReaders reports whether only readers should retry a failing store often.
func (r *Roles) leavesStoreToReaders() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.reader && !r.backupReader && r.parent != "" && !r.alsoStore && r.peersUp
}

// set changes one of the conditions and wakes the waiting callers if its value differs.
func (r *Roles) set(condition *bool, to bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *condition == to {
		return
	}
	*condition = to
	r.notify()
}

// setStoreFailed records whether calls to the store fail for a table.
func (r *Roles) setStoreFailed(name table.Name, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing[name] == failed {
		return
	}
	r.failing[name] = failed
	r.notify()
}

// readsStore reports whether this router currently reads from the store. The caller holds the lock.
func (r *Roles) readsStore() bool { return r.reader || r.parent == "" || r.peersStale || r.alsoStore }

// readsPeers reports whether this router currently reads from peers. The caller holds the lock.
func (r *Roles) readsPeers() bool {
	if r.alsoPeers || r.consulting || !r.reader && r.parent != "" {
		return true
	}
	for _, failing := range r.failing {
		if failing {
			return true
		}
	}
	return false
}

// awaitStore blocks until this router reads from the store; it returns false if the context ended.
func (r *Roles) awaitStore(ctx context.Context) bool { return r.await(ctx, r.readsStore) }

// awaitPeers blocks until this router reads from peers; it returns false if the context ended.
func (r *Roles) awaitPeers(ctx context.Context) bool { return r.await(ctx, r.readsPeers) }

// await blocks until the condition holds; the condition is evaluated with the lock held.
func (r *Roles) await(ctx context.Context, condition func() bool) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		ready, changed := condition(), r.changed
		r.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return false
}
