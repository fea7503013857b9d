package target

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"valescale/internal/plat/ident"
)

// EngineOptions configure the behaviour of an engine.
type EngineOptions struct {
	Name        ident.Target
	Incarnation ident.Incarnation
	// PerWord is the time that one word takes. ColdDelay is added if the prompt prefix is not cached.
	PerWord   time.Duration
	ColdDelay time.Duration
	// CacheSize is the maximum number of chats whose prefixes are cached; zero means no limit.
	CacheSize int
	// Slots is the number of slots that the engine reports. It rejects requests once twice as many
	// run; zero means no limit.
	Slots int
	// Fenced makes the engine reject orders with an older epoch.
	Fenced bool
	Model  string
}

// Engine is a fake of a model engine.
type Engine struct {
	options EngineOptions
	mu      sync.Mutex
	leaving bool
	// backoff is the Retry-After delay with which all requests are rejected; if it is zero, they
	// are served.
	backoff     time.Duration
	rejected    int
	running     int
	peakRunning int
	served      int
	warmHits    int
	seq         uint64
	evicted     []eviction
	lru         *list.List
	cached      map[ident.ChatKey]*list.Element
	streams     map[string]stream
	epoch       ident.Epoch
	model       string
	orders      int
	// cutAfterEvents is the number of events after which the connection of a stream is closed; zero
	// means never.
	cutAfterEvents int
	// cutsLeft is the number of streams that are still to be cut.
	cutsLeft  int
	onRunning func(running int)
	// questionRuns is the number of runs of each question.
	questionRuns map[string]int
}

type eviction struct {
	seq uint64
	key ident.ChatKey
}

// stream is an answer that is streamed; its events begin with the word at index offset.
type stream struct {
	words  []string
	offset int
}

// NewEngine returns an engine without cached prefixes.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options, lru: list.New(), cached: map[ident.ChatKey]*list.Element{}, streams: map[string]stream{},
		model: options.Model, questionRuns: map[string]int{},
	}
}

// Watch sets a callback that receives the number of running requests whenever it changes. It is
// called with the engine's lock held.
func (e *Engine) Watch(onRunning func(running int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRunning = onRunning
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetBackoff makes the engine reject all requests with a Retry-After delay; zero makes it serve
// them again.
func (e *Engine) SetBackoff(backoff time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backoff = backoff
}

// CutStreams makes the next n streams close their connection after a number of events.
func (e *Engine) CutStreams(n, afterEvents int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutsLeft, e.cutAfterEvents = n, afterEvents
}

// Counts contains the counters and the state of an engine.
type Counts struct {
	Served   int
	Rejected int
	Running  int
	Warm     int
	Peak     int
	Orders   int
	Model    string
	Epoch    ident.Epoch
}

// Counts returns the current counters and state of the engine.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{Served: e.served, Rejected: e.rejected, Running: e.running, Warm: e.warmHits, Peak: e.peakRunning, Orders: e.orders, Model: e.model, Epoch: e.epoch}
}

// Handler serves chats, streams, reports and orders.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveStream)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/import", e.serveImport)
	return mux
}

func (e *Engine) recordRun(question string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.questionRuns[question]++
}

// HasRun reports whether a question has ever run on this engine.
func (e *Engine) HasRun(question string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.questionRuns[question] > 0
}
