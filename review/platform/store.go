package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of one response of the store.
const (
	maxPageRows = 500
	maxWait     = 30 * time.Second
)

// Row is a row in the store's encoding.
type Row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     []byte `json:"Value,omitempty"`
	Ver       int64  `json:"Ver"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

type rowKey struct {
	Table string `json:"Table"`
	Part  string `json:"part"`
	Key   string `json:"Key"`
}

type expectation struct {
	rowKey
	Ver int64 `json:"Ver"`
}

type transaction struct {
	ExpectRev []expectation
	Writes    []Row
	Remove    []rowKey
}

// Store is a stand-in of the platform's store.
type Store struct {
	// Delay is the time that each answer takes.
	Delay time.Duration

	startedAt time.Time
	addr      string
	server    *http.Server

	mu      sync.Mutex
	rows    map[rowKey]Row
	version int64
	changed chan struct{}
}

// NewStore returns a store that listens on a free port of a loopback address, and a function that
// stops it.
func NewStore(delay time.Duration) (*Store, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &Store{Delay: delay, startedAt: time.Now(), addr: l.Addr().String(), rows: map[rowKey]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /valescale/rows-get", s.get)
	mux.HandleFunc("GET /valescale/rows-feed", s.feed)
	mux.HandleFunc("POST /valescale/rows-tx", s.commit)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, func() { _ = s.server.Close() }, nil
}

// Addr returns the store's address.
func (s *Store) Addr() string { return s.addr }

// Put writes a row as the platform does. A nil value removes it.
func (s *Store) Put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		s.apply(transaction{Remove: []rowKey{{Table: table, Key: key}}})
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(transaction{Writes: []Row{{Table: table, Key: key, Value: data}}})
}

// apply applies the writes of a transaction. The caller holds the lock.
func (s *Store) apply(t transaction) {
	s.version++
	for _, row := range t.Writes {
		row.Ver, row.Tombstone = s.version, false
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	}
	for _, key := range t.Remove {
		s.rows[key] = Row{Table: key.Table, Part: key.Part, Key: key.Key, Ver: s.version, Tombstone: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes an answer about rows. The caller holds no lock.
func (s *Store) answer(w http.ResponseWriter, status int, rows []Row, hasMore bool, version int64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": hasMore, "Ver": version, "NowMs": time.Since(s.startedAt).Milliseconds(),
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Delay)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	rows := []Row{}
	for key, row := range s.rows {
		inRange := key.Key >= q.Get("From") && (q.Get("Target") == "" || key.Key < q.Get("Target"))
		if key.Table == q.Get("Table") && key.Part == q.Get("part") && inRange && !row.Tombstone {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], hasMore, version)
}

// since returns the changes of a table after a version, the version of the store, and the channel
// that is closed at its next change.
func (s *Store) since(table string, after int64) ([]Row, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for key, row := range s.rows {
		if key.Table == table && row.Ver > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.Ver - b.Ver) })
	return rows, s.version, s.changed
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Delay)
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("SinceRev"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		rows, version, changed := s.since(q.Get("Table"), after)
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.answer(w, http.StatusOK, rows, false, version)
			return
		case <-changed:
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Delay)
	data, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(data, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	conflict := slices.ContainsFunc(t.ExpectRev, func(e expectation) bool {
		row := s.rows[e.rowKey]
		if row.Tombstone {
			row.Ver = 0
		}
		return row.Ver != e.Ver
	})
	status := http.StatusOK
	if conflict {
		status = http.StatusPreconditionFailed
	} else {
		s.apply(t)
	}
	version := s.version
	s.mu.Unlock()
	s.answer(w, status, []Row{}, false, version)
}
