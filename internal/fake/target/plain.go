package target

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Plain is a fake of a plain service. POST /orders runs an order; any other request is answered
// with its path and body.
type Plain struct {
	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
	// lose is the number of orders that still run without a response.
	lose int
}

// NewPlain returns a service whose requests take the given time.
func NewPlain(delay time.Duration) *Plain { return &Plain{runs: map[string]int{}, delay: delay} }

// LoseResponses makes the next n orders run and then close the connection without a response.
func (p *Plain) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// Runs returns the number of runs of each idempotency key's order.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runs)
}

// TotalRuns returns the number of runs of each idempotency key's order at all replicas together.
func TotalRuns(replicas []*Plain) map[string]int {
	total := map[string]int{}
	for _, p := range replicas {
		for key, n := range p.Runs() {
			total[key] += n
		}
	}
	return total
}

// Reply is the body of a response.
type Reply struct {
	Key  string `json:"key,omitempty"`
	Path string `json:"path"`
	Body string `json:"body"`
}

// Handler serves orders and echoes other requests.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", p.serveOrder)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		simulateWork(r.Context(), p.delay)
		writeReply(w, Reply{Path: r.URL.Path, Body: string(body)})
	})
	return mux
}

func (p *Plain) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	p.mu.Lock()
	p.runs[key]++
	lose := p.lose > 0
	if lose {
		p.lose--
	}
	p.mu.Unlock()
	simulateWork(r.Context(), p.delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, Reply{Key: key, Path: r.URL.Path, Body: string(body)})
}

// writeReply writes a response.
func writeReply(w http.ResponseWriter, reply Reply) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
