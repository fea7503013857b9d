package origin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"valescale/internal/plat/table"
)

// memoryStore is a store in memory that counts calls and bytes.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[table.Name]map[table.Key]table.Row
	version table.Version
	era     table.Era
	// away is set while all calls fail.
	away bool
	// reads and writes count the calls, readBytes and writtenBytes the values.
	reads, writes           int
	readBytes, writtenBytes int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: map[table.Name]map[table.Key]table.Row{}, era: 1}
}

var errAway = errors.New("store is away")

func (s *memoryStore) All(ctx context.Context, name table.Name) (table.Page, error) {
	return s.Range(ctx, name, "", "")
}

func (s *memoryStore) Range(_ context.Context, name table.Name, from, to table.Key) (table.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return table.Page{}, errAway
	}
	page := table.Page{At: table.Position{Era: s.era, Version: s.version}}
	for key, row := range s.rows[name] {
		if key >= from && (to == "" || key < to) {
			row.Era = s.era
			page.Rows = append(page.Rows, row)
			s.readBytes += len(row.Key) + len(row.Value)
		}
	}
	slices.SortFunc(page.Rows, func(a, b table.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return page, nil
}

func (s *memoryStore) Commit(_ context.Context, txn table.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.away {
		return errAway
	}
	for _, c := range txn.Checks {
		if s.rows[c.Table][c.Key].Version != c.Version {
			return errors.New("conflict")
		}
	}
	s.version++
	for _, p := range txn.Puts {
		if s.rows[p.Table] == nil {
			s.rows[p.Table] = map[table.Key]table.Row{}
		}
		if p.Delete {
			delete(s.rows[p.Table], p.Key)
			continue
		}
		s.rows[p.Table][p.Key] = table.Row{Table: p.Table, Key: p.Key, Version: s.version, Value: p.Value}
		s.writtenBytes += len(p.Key) + len(p.Value)
	}
	return nil
}

// setAway makes all calls fail, or no more.
func (s *memoryStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// neverSuspended is WokeAt of a process that was never suspended.
func neverSuspended() time.Time { return time.Time{} }

// writes is the role of a router that writes at once.
func writes() Role { return Writes }
