package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"valescale/internal/plat/engine"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
)

type chatRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Continue  bool `json:"continue_final_message"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// words returns the question, the words of its answer and the number of words that the caller
// already has.
func (c chatRequest) words() (string, []string, int) {
	messages := c.Messages
	partial := ""
	if c.Continue && len(messages) > 0 {
		partial = messages[len(messages)-1].Content
		messages = messages[:len(messages)-1]
	}
	question := ""
	for _, m := range messages {
		if m.Role == "user" {
			question = m.Content
		}
	}
	count := c.MaxTokens
	if count <= 0 {
		count = Words
	}
	return question, answerWords(question, count), strings.Count(partial, " ")
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Messages) == 0 {
		http.Error(w, `{"error":"bad request"}`, http.StatusBadRequest)
		return
	}
	key, _ := strconv.ParseUint(r.Header.Get(engine.CacheHeader), 16, 64)
	if backoff, admitted := e.admit(); !admitted {
		e.setHeaders(w, r)
		if backoff > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.finish()
	warm := e.useCache(ident.ChatKey(key))
	e.setHeaders(w, r)
	if !warm && !simulateWork(r.Context(), e.options.ColdDelay) {
		return
	}
	question, words, offset := request.words()
	e.recordRun(question)
	if request.Stream {
		id := r.Header.Get(engine.AttemptHeader)
		e.mu.Lock()
		e.streams[id] = stream{words: words, offset: offset}
		e.mu.Unlock()
		w.Header().Set(engine.StreamHeader, id)
		e.sendWords(w, r, words, offset)
		return
	}
	if !simulateWork(r.Context(), time.Duration(len(words)-offset)*e.options.PerWord) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{Choices: []choice{{Message: &message{"assistant", strings.Join(words[offset:], "")}}}})
}

type completion struct {
	Choices []choice `json:"choices"`
}

type choice struct {
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// sendWords streams the words as events, beginning with the word at index from.
func (e *Engine) sendWords(w http.ResponseWriter, r *http.Request, words []string, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	cut := e.takeCut()
	for i := from; i < len(words); i++ {
		if !simulateWork(r.Context(), e.options.PerWord) {
			return
		}
		if cut > 0 && i-from >= cut {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(completion{Choices: []choice{{Delta: &message{Content: words[i]}}}})
		if _, err := w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
			return
		}
		_ = control.Flush()
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (e *Engine) takeCut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutsLeft == 0 {
		return 0
	}
	e.cutsLeft--
	return e.cutAfterEvents
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	from, err := strconv.Atoi(r.FormValue("from"))
	if !ok || err != nil || from < 0 || s.offset+from > len(s.words) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.setHeaders(w, r)
	w.Header().Set(engine.StreamHeader, r.PathValue("id"))
	e.sendWords(w, r, s.words, s.offset+from)
}

func (e *Engine) setHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.AttemptHeader, r.Header.Get(engine.AttemptHeader))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		w.Header().Set(engine.LeavingHeader, "true")
	}
}

// admit admits a request, or rejects it and returns the backoff that the engine requests.
func (e *Engine) admit() (backoff time.Duration, admitted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.backoff > 0 || e.options.Slots > 0 && e.running >= 2*e.options.Slots {
		e.rejected++
		return e.backoff, false
	}
	e.running++
	e.served++
	e.peakRunning = max(e.peakRunning, e.running)
	if e.onRunning != nil {
		e.onRunning(e.running)
	}
	return 0, true
}

func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.onRunning != nil {
		e.onRunning(e.running)
	}
}

// useCache marks a chat's prefix as the most recently used one, caches it, and reports whether it
// was cached before.
func (e *Engine) useCache(key ident.ChatKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if el, ok := e.cached[key]; ok {
		e.lru.MoveToFront(el)
		e.warmHits++
		return true
	}
	e.cached[key] = e.lru.PushFront(key)
	if e.options.CacheSize > 0 && e.lru.Len() > e.options.CacheSize {
		last := e.lru.Back()
		oldest := e.lru.Remove(last).(ident.ChatKey)
		delete(e.cached, oldest)
		e.seq++
		e.evicted = append(e.evicted, eviction{seq: e.seq, key: oldest})
	}
	return false
}

// simulateWork waits for the duration of a piece of work and reports whether the request's context
// is still active. Without a duration it does not wait.
func simulateWork(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return pause.Sleep(ctx, d)
}
