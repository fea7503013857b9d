package config

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
)

// InForce is a compiled configuration with its revision.
type InForce struct {
	Revision ident.Revision
	Set      *policy.Set
}

// Keeper holds what is in force on this router; its revision only grows.
type Keeper struct {
	mu        sync.Mutex
	documents map[policy.ID]policy.Document
	recent    []Change
	force     atomic.Pointer[InForce]
	installed func(InForce)
}

// keepChanges is how many changes are kept for peers that lack them.
const keepChanges = 256

// NewKeeper returns a keeper of the empty configuration; installed is called after each change.
func NewKeeper(installed func(InForce)) *Keeper {
	k := &Keeper{documents: map[policy.ID]policy.Document{}, installed: installed}
	set, _ := policy.Compile(nil)
	k.force.Store(&InForce{Set: set})
	return k
}

// InForce returns the configuration in force.
func (k *Keeper) InForce() InForce { return *k.force.Load() }

// Documents returns the documents in force with their revision, in order.
func (k *Keeper) Documents() Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Snapshot{Revision: k.InForce().Revision, Documents: sorted(k.documents)}
}

// Since returns the changes after a revision, if they are all still kept.
func (k *Keeper) Since(after ident.Revision) ([]Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if after >= k.InForce().Revision {
		return nil, true
	}
	for i, c := range k.recent {
		if c.Revision == after+1 {
			return slices.Clone(k.recent[i:]), true
		}
	}
	return nil, false
}

// Install puts changes in force that follow on the present revision. Those that
// are in force already are passed over.
func (k *Keeper) Install(changes []Change) error {
	const op = "config.Install"
	k.mu.Lock()
	defer k.mu.Unlock()
	revision := k.InForce().Revision
	next := maps.Clone(k.documents)
	var fresh []Change
	for _, c := range changes {
		if c.Revision <= revision {
			continue
		}
		if c.Revision != revision+1 {
			return fault.Newf(op, Gap, "have %d, offered %d", revision, c.Revision)
		}
		merge(next, c.Documents)
		revision = c.Revision
		fresh = append(fresh, c)
	}
	if len(fresh) == 0 {
		return nil
	}
	return k.put(op, revision, next, fresh)
}

// InstallSnapshot puts a whole configuration in force if it is later than the present one.
func (k *Keeper) InstallSnapshot(s Snapshot) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Revision <= k.InForce().Revision {
		return nil
	}
	next := map[policy.ID]policy.Document{}
	merge(next, s.Documents)
	return k.put("config.InstallSnapshot", s.Revision, next, nil)
}

// put compiles and swaps; the caller holds the lock. A set that does not compile
// was never recorded by this version of the program, so it is refused.
func (k *Keeper) put(op string, revision ident.Revision, documents map[policy.ID]policy.Document, fresh []Change) error {
	set, problems := policy.Compile(sorted(documents))
	if len(problems) > 0 {
		return fault.New(op, Invalid, problems[0].Err)
	}
	k.documents = documents
	if fresh == nil {
		k.recent = nil
	}
	k.recent = append(k.recent, fresh...)
	if extra := len(k.recent) - keepChanges; extra > 0 {
		k.recent = slices.Delete(k.recent, 0, extra)
	}
	force := InForce{Revision: revision, Set: set}
	k.force.Store(&force)
	if k.installed != nil {
		k.installed(force)
	}
	return nil
}

func merge(into map[policy.ID]policy.Document, documents []policy.Document) {
	for _, d := range documents {
		if d.Deleted {
			delete(into, d.ID)
			continue
		}
		into[d.ID] = d
	}
}

func sorted(documents map[policy.ID]policy.Document) []policy.Document {
	out := slices.Collect(maps.Values(documents))
	slices.SortFunc(out, func(a, b policy.Document) int {
		if a.Less(b) {
			return -1
		}
		if b.Less(a) {
			return 1
		}
		return 0
	})
	return out
}
