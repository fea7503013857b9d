package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct {
	Table string `json:"Table"`
	Part  string `json:"part"`
	Key   string `json:"Key"`
}

// row is a row of the store as it is sent.
type row struct {
	rowKey
	Value     []byte `json:"Value,omitempty"`
	Ver       int64  `json:"Ver,omitempty"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

// transaction is the body of a writing call.
type transaction struct {
	ExpectRev []struct {
		rowKey
		Ver int64 `json:"Ver"`
	}
	Writes []row
	Remove []rowKey
}

// maxPageRows is the number of rows in one answer, as the users' page limits it.
const maxPageRows = 500

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowKey]row
	ver     int64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// handler serves the calls of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /valescale/rows-get", s.get)
	mux.HandleFunc("GET /valescale/rows-feed", s.feed)
	mux.HandleFunc("POST /valescale/rows-tx", s.commit)
	return mux
}

// put writes a row of the operator or of a replica. A nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.write(rowKey{Table: table, Key: key}, data, value == nil)
	s.notify()
}

// write stores a row under the current version. The caller holds the lock.
func (s *store) write(key rowKey, value []byte, removed bool) {
	s.rows[key] = row{rowKey: key, Value: value, Ver: s.ver, Tombstone: removed}
}

// notify wakes the calls that wait for changes. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes a page of rows. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	body := map[string]any{"Rows": rows, "HasMore": more, "Ver": s.ver, "NowMs": time.Since(s.started).Milliseconds()}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	out := []row{}
	for key, r := range s.rows {
		inRange := key.Key >= q.Get("From") && (q.Get("Target") == "" || key.Key < q.Get("Target"))
		if key.Table == q.Get("Table") && key.Part == q.Get("part") && !r.Tombstone && inRange {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > maxPageRows
	s.answer(w, out[:min(len(out), maxPageRows)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("SinceRev"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		changed, answered := s.changes(w, q.Get("Table"), since, ended)
		if answered {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			ended = true
		case <-changed:
		}
	}
}

// changes answers with the rows that changed after a version, if there are any or the wait has ended.
func (s *store) changes(w http.ResponseWriter, table string, since int64, ended bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for key, r := range s.rows {
		if key.Table == table && r.Ver > since {
			out = append(out, r)
		}
	}
	if len(out) == 0 && !ended {
		return s.changed, false
	}
	slices.SortFunc(out, func(a, b row) int { return int(a.Ver - b.Ver) })
	s.answer(w, out, false)
	return nil, true
}

// refuse answers that a condition doesn't hold, with the rows of all conditions as they are. The caller holds the lock.
func (s *store) refuse(w http.ResponseWriter, t transaction) {
	rows := []row{}
	for _, c := range t.ExpectRev {
		if r, known := s.rows[c.rowKey]; known && !r.Tombstone {
			rows = append(rows, r)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	s.answer(w, rows, false)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(data, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.ExpectRev {
		have := s.rows[c.rowKey]
		if have.Tombstone {
			have.Ver = 0
		}
		if have.Ver != c.Ver {
			s.refuse(w, t)
			return
		}
	}
	s.ver++
	for _, put := range t.Writes {
		s.write(put.rowKey, put.Value, false)
	}
	for _, key := range t.Remove {
		s.write(key, nil, true)
	}
	s.notify()
	s.answer(w, []row{}, false)
}
