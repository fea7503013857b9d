package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/table"
)

// maxBodyBytes is the maximum size of a request's body, in bytes.
const maxBodyBytes = 64 << 20

// Handler serves the platform's protocols over HTTP. Each response includes the store's era.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commit", s.serveCommit)
	mux.HandleFunc("GET /v1/row", s.serveRow)
	mux.HandleFunc("GET /v1/scan", s.serveScan)
	mux.HandleFunc("GET /v1/boxes", s.serveBoxes)
	mux.HandleFunc("PUT /v1/object/{name}", s.servePutObject)
	mux.HandleFunc("GET /v1/object/{name}", s.serveGetObject)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(table.HeaderEra, strconv.FormatUint(uint64(s.Era()), 10))
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, struct{}{}, s.Commit(r.Context(), txn))
}

func (s *Store) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.Get(r.Context(), table.Name(r.FormValue("table")), table.Key(r.FormValue("key")))
	writeResult(w, row, err)
}

func (s *Store) serveScan(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	rows, err := s.Scan(r.Context(), table.Range{
		Table: table.Name(r.FormValue("table")),
		From:  table.Key(r.FormValue("from")),
		Limit: limit,
	})
	writeResult(w, rows, err)
}

func (s *Store) serveBoxes(w http.ResponseWriter, r *http.Request) {
	list, err := s.List(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(data)
}

func (s *Store) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.objects[r.PathValue("name")] = data
}

func (s *Store) serveGetObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[r.PathValue("name")]
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write(data)
	}
}

func writeResult(w http.ResponseWriter, value any, err error) {
	switch table.KindOf(err) {
	case table.Conflict:
		w.WriteHeader(http.StatusConflict)
	case table.Missing:
		w.WriteHeader(http.StatusNotFound)
	case table.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case table.Unknown:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		_ = json.NewEncoder(w).Encode(value)
	}
}
