package target

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"valescale/internal/plat/ident"
)

// EngineOptions say how an engine behaves.
type EngineOptions struct {
	Name        ident.Target
	Incarnation ident.Incarnation
	// PerWord is the time that one word takes; Cold is added when the prefix is not cached.
	PerWord time.Duration
	Cold    time.Duration
	// Cache is how many chats' prefixes fit.
	Cache int
	Slots int
	// Fenced engines refuse orders with an older epoch.
	Fenced bool
	Model  string
}

// Engine is the stand-in of a model engine.
type Engine struct {
	options EngineOptions
	mu      sync.Mutex
	leaving bool
	// backoff is how long the engine asks routers to stay away, turning all requests away; zero serves them.
	backoff time.Duration
	refused int
	running int
	peak    int
	served  int
	warm    int
	seq     uint64
	evicted []eviction
	lru     *list.List
	cached  map[ident.ChatKey]*list.Element
	streams map[string]stream
	epoch   ident.Epoch
	model   string
	orders  int
	// cutAfter closes the connection after so many events; zero never.
	cutAfter int
	cuts     int
	watch    func(running int)
	// asked counts how often each question ran.
	asked map[string]int
}

type eviction struct {
	seq uint64
	key ident.ChatKey
}

type stream struct {
	words []string
	first int
}

// NewEngine returns an engine without cached prefixes.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options, lru: list.New(), cached: map[ident.ChatKey]*list.Element{}, streams: map[string]stream{},
		model: options.Model, asked: map[string]int{},
	}
}

// Watch sets what is called, under the engine's lock, with each change of its running requests.
func (e *Engine) Watch(watch func(running int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watch = watch
}

// Leave makes the engine say that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// BackOff makes the engine turn all requests away and ask for backoff; zero has it serve again.
func (e *Engine) BackOff(backoff time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backoff = backoff
}

// CutStreams makes the next n streams break off after some events.
func (e *Engine) CutStreams(n, afterEvents int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cuts, e.cutAfter = n, afterEvents
}

// Counts is what an engine has done.
type Counts struct {
	Served int
	// Refused counts the requests that were turned away.
	Refused int
	Running int
	Warm    int
	Peak    int
	Orders  int
	Model   string
	Epoch   ident.Epoch
}

// Counts returns what the engine has done so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{Served: e.served, Refused: e.refused, Running: e.running, Warm: e.warm, Peak: e.peak, Orders: e.orders, Model: e.model, Epoch: e.epoch}
}

// Handler serves the engine's interfaces.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveStream)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/import", e.serveImport)
	return mux
}

func (e *Engine) note(question string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[question]++
}

// Asked reports whether a question ever ran here.
func (e *Engine) Asked(question string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked[question] > 0
}
