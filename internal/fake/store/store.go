package store

import (
	"context"
	"maps"
	"sort"
	"sync"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/table"
)

type rowKey struct {
	table table.Name
	key   table.Key
}

// Store is a fake of the platform. Its methods match those of the platform's clients.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]table.Row
	objects map[string][]byte
	boxes   []boxes.Box
	down    bool
	// commitsUntilDown is the number of commits that still take effect before the store goes down;
	// if it is negative, the store stays up.
	commitsUntilDown int
	// responsesToLose is the number of commits that still take effect but return Unknown.
	responsesToLose int
	// frozenRows, if it is not nil, is the state that reads return.
	frozenRows   map[rowKey]table.Row
	commits      int
	rowWrites    int
	beforeCommit func(table.Txn)
	// era is incremented each time the store is restored from an older snapshot.
	era table.Era
}

// New returns an empty store that is up.
func New() *Store {
	return &Store{rows: map[rowKey]table.Row{}, objects: map[string][]byte{}, commitsUntilDown: -1, era: 1}
}

// DownAfterCommits makes the store go down after n more commits have taken effect.
func (s *Store) DownAfterCommits(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitsUntilDown = n
}

// SetDown makes every call fail without effect if down is set, and succeed again otherwise.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseResponses makes the next n commits take effect and return Unknown, as if their responses were
// lost.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// FreezeReads makes reads return the current state, as a stale replica would, until it is called
// with freeze unset.
func (s *Store) FreezeReads(freeze bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenRows = nil
	if !freeze {
		return
	}
	s.frozenRows = maps.Clone(s.rows)
}

// Snapshot is a snapshot of a store's rows.
type Snapshot map[rowKey]table.Row

// Snapshot returns a snapshot of the rows, from which the store can be restored.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// RollBack restores the store from a snapshot: later writes are lost, their versions are assigned
// again, and the era is incremented.
func (s *Store) RollBack(to Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(to)
	s.era++
}

// Era returns the store's era.
func (s *Store) Era() table.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// BeforeCommit sets a hook that runs before each commit, without holding the lock.
func (s *Store) BeforeCommit(hook func(table.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCommit = hook
}

// SetBoxes replaces the list of boxes.
func (s *Store) SetBoxes(list []boxes.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes = append([]boxes.Box(nil), list...)
}

// Writes returns the number of committed transactions and the number of rows that they put or
// deleted.
func (s *Store) Writes() (commits, rows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.rowWrites
}

// Commit applies a transaction atomically. It returns Conflict if a check does not match.
func (s *Store) Commit(_ context.Context, txn table.Txn) error {
	const op = "store.Commit"
	s.mu.Lock()
	hook := s.beforeCommit
	s.mu.Unlock()
	if hook != nil {
		hook(txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fault.New(op, table.Unavailable, nil)
	}
	for _, c := range txn.Checks {
		if c.Version != table.AnyVersion && s.rows[rowKey{c.Table, c.Key}].Version != c.Version {
			return fault.Newf(op, table.Conflict, "%s/%s", c.Table, c.Key)
		}
	}
	for _, p := range txn.Puts {
		s.put(p)
	}
	s.commits++
	if s.commitsUntilDown > 0 {
		s.commitsUntilDown--
		s.down = s.down || s.commitsUntilDown == 0
	}
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return fault.New(op, table.Unknown, nil)
	}
	return nil
}

func (s *Store) put(p table.Put) {
	s.rowWrites++
	k := rowKey{p.Table, p.Key}
	if p.Delete {
		delete(s.rows, k)
		return
	}
	value := append([]byte(nil), p.Value...)
	s.rows[k] = table.Row{Table: p.Table, Key: p.Key, Version: s.rows[k].Version + 1, Value: value}
}

// Get returns one row.
func (s *Store) Get(_ context.Context, name table.Name, key table.Key) (table.Row, error) {
	const op = "store.Get"
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Row{}, fault.New(op, table.Unavailable, nil)
	}
	row, ok := s.visibleRows()[rowKey{name, key}]
	if !ok {
		return table.Row{}, fault.New(op, table.Missing, nil)
	}
	return row, nil
}

// Scan returns rows in key order.
func (s *Store) Scan(_ context.Context, r table.Range) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, fault.New("store.Scan", table.Unavailable, nil)
	}
	var out []table.Row
	for k, row := range s.visibleRows() {
		if k.table == r.Table && k.key >= r.From {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if r.Limit > 0 && len(out) > r.Limit {
		out = out[:r.Limit]
	}
	return out, nil
}

func (s *Store) visibleRows() map[rowKey]table.Row {
	if s.frozenRows != nil {
		return s.frozenRows
	}
	return s.rows
}

// List returns the list of boxes.
func (s *Store) List(context.Context) ([]boxes.Box, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, fault.New("store.List", boxes.Failed, nil)
	}
	return append([]boxes.Box(nil), s.boxes...), nil
}
