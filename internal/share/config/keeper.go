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

// InForce is a compiled configuration and its revision.
type InForce struct {
	Revision ident.Revision
	Set      *policy.Set
}

// Keeper holds the configuration in force on this router. Its revision only grows.
type Keeper struct {
	mu        sync.Mutex
	documents map[policy.ID]policy.Document
	recent    []Change
	active    atomic.Pointer[InForce]
	onInstall func(InForce)
}

// maxRecentChanges is the number of changes kept for peers that lack them.
const maxRecentChanges = 256

// NewKeeper returns a Keeper with an empty configuration. onInstall is called after each change.
func NewKeeper(onInstall func(InForce)) *Keeper {
	k := &Keeper{documents: map[policy.ID]policy.Document{}, onInstall: onInstall}
	set, _ := policy.Compile(nil)
	k.active.Store(&InForce{Set: set})
	return k
}

// InForce returns the configuration in force.
func (k *Keeper) InForce() InForce { return *k.active.Load() }

// Documents returns the documents in force, sorted, and their revision.
func (k *Keeper) Documents() Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Snapshot{Revision: k.InForce().Revision, Documents: sorted(k.documents)}
}

// Since returns the changes after a revision. It reports false if some of them are no longer kept.
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

// Install installs changes that directly follow the current revision. Changes that are already in
// force are skipped.
func (k *Keeper) Install(changes []Change) error {
	const op = "config.Install"
	k.mu.Lock()
	defer k.mu.Unlock()
	revision := k.InForce().Revision
	next := maps.Clone(k.documents)
	var added []Change
	for _, c := range changes {
		if c.Revision <= revision {
			continue
		}
		if c.Revision != revision+1 {
			return fault.Newf(op, Gap, "expected the change after revision %d, got revision %d", revision, c.Revision)
		}
		merge(next, c.Documents)
		revision = c.Revision
		added = append(added, c)
	}
	if len(added) == 0 {
		return nil
	}
	return k.activate(op, revision, next, added)
}

// InstallSnapshot installs a full configuration if it is later than the current one.
func (k *Keeper) InstallSnapshot(s Snapshot) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Revision <= k.InForce().Revision {
		return nil
	}
	next := map[policy.ID]policy.Document{}
	merge(next, s.Documents)
	return k.activate("config.InstallSnapshot", s.Revision, next, nil)
}

// activate compiles the documents and replaces the configuration in force. The caller must hold the
// lock. A configuration that does not compile was recorded by another version of the program and is
// rejected.
func (k *Keeper) activate(op string, revision ident.Revision, documents map[policy.ID]policy.Document, added []Change) error {
	set, problems := policy.Compile(sorted(documents))
	if len(problems) > 0 {
		return fault.New(op, Invalid, problems[0].Err)
	}
	k.documents = documents
	if added == nil {
		k.recent = nil
	}
	k.recent = append(k.recent, added...)
	if extra := len(k.recent) - maxRecentChanges; extra > 0 {
		k.recent = slices.Delete(k.recent, 0, extra)
	}
	active := InForce{Revision: revision, Set: set}
	k.active.Store(&active)
	if k.onInstall != nil {
		k.onInstall(active)
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
