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

// words returns the question, the answer's words and how many of them the caller has already.
func (c chatRequest) words() (string, []string, int) {
	messages := c.Messages
	part := ""
	if c.Continue && len(messages) > 0 {
		part = messages[len(messages)-1].Content
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
	return question, answerWords(question, count), strings.Count(part, " ")
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Messages) == 0 {
		http.Error(w, `{"error":"bad request"}`, http.StatusBadRequest)
		return
	}
	key, _ := strconv.ParseUint(r.Header.Get(engine.CacheHeader), 16, 64)
	if backoff, taken := e.begin(); !taken {
		e.headers(w, r)
		if backoff > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	warm := e.touch(ident.ChatKey(key))
	e.headers(w, r)
	if !warm && !spend(r.Context(), e.options.Cold) {
		return
	}
	question, words, first := request.words()
	e.note(question)
	if request.Stream {
		id := r.Header.Get(engine.AttemptHeader)
		e.mu.Lock()
		e.streams[id] = stream{words: words, first: first}
		e.mu.Unlock()
		w.Header().Set(engine.StreamHeader, id)
		e.send(w, r, words, first)
		return
	}
	if !spend(r.Context(), time.Duration(len(words)-first)*e.options.PerWord) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{Choices: []choice{{Message: &message{"assistant", strings.Join(words[first:], "")}}}})
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

// send streams the words from a place on.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, words []string, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	cut := e.nextCut()
	for i := from; i < len(words); i++ {
		if !spend(r.Context(), e.options.PerWord) {
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

func (e *Engine) nextCut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cuts == 0 {
		return 0
	}
	e.cuts--
	return e.cutAfter
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	from, err := strconv.Atoi(r.FormValue("from"))
	if !ok || err != nil || from < 0 || s.first+from > len(s.words) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.headers(w, r)
	w.Header().Set(engine.StreamHeader, r.PathValue("id"))
	e.send(w, r, s.words, s.first+from)
}

func (e *Engine) headers(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.AttemptHeader, r.Header.Get(engine.AttemptHeader))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		w.Header().Set(engine.LeavingHeader, "true")
	}
}

// begin takes a request, or turns it away and says how long the engine wants nothing more.
func (e *Engine) begin() (backoff time.Duration, taken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.backoff > 0 || e.options.Slots > 0 && e.running >= 2*e.options.Slots {
		e.refused++
		return e.backoff, false
	}
	e.running++
	e.served++
	e.peak = max(e.peak, e.running)
	if e.watch != nil {
		e.watch(e.running)
	}
	return 0, true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.watch != nil {
		e.watch(e.running)
	}
}

// touch notes that a chat's prefix was used and reports whether it was cached.
func (e *Engine) touch(key ident.ChatKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if el, ok := e.cached[key]; ok {
		e.lru.MoveToFront(el)
		e.warm++
		return true
	}
	e.cached[key] = e.lru.PushFront(key)
	if e.options.Cache > 0 && e.lru.Len() > e.options.Cache {
		last := e.lru.Back()
		gone := e.lru.Remove(last).(ident.ChatKey)
		delete(e.cached, gone)
		e.seq++
		e.evicted = append(e.evicted, eviction{seq: e.seq, key: gone})
	}
	return false
}

// spend waits for the time that a piece of work takes, none if it takes none, and reports
// whether its caller still waits.
func spend(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return pause.For(ctx, d)
}
