package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"valescale/internal/plat/engine"
)

// serveReport returns the state of the engine and the prefixes that its cache has evicted since the
// sequence number in the query.
func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
	e.mu.Lock()
	report := engine.Report{
		Incarnation: e.options.Incarnation, Leaving: e.leaving, InFlight: e.running, Slots: e.options.Slots,
		Model: e.model, Seq: e.seq,
	}
	for _, v := range e.evicted {
		if v.seq > since {
			report.Evicted = append(report.Evicted, v.key)
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

// serveOrder executes an order. A fenced engine rejects it if an order of a later epoch was
// executed before, since the sender no longer holds the lease.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fenced && order.Epoch < e.epoch {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.epoch = max(e.epoch, order.Epoch)
	e.orders++
	switch order.Kind {
	case engine.LoadModel:
		e.model = order.Model
	case engine.ExportCache:
		go sendImport(order)
	}
}

// serveImport adds the prefixes of chats to the cache.
func (e *Engine) serveImport(_ http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		return
	}
	for _, key := range order.Keys {
		e.useCache(key)
	}
}

// sendImport sends the keys of cached prefixes to another engine. It simulates copying the
// prefixes.
func sendImport(order engine.Order) {
	body, _ := json.Marshal(engine.Order{Kind: importCache, Keys: order.Keys})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.To+"/v1/import", strings.NewReader(string(body)))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// importCache is the kind of order that fake engines send to each other; routers do not send it.
const importCache engine.OrderKind = "import_cache"
