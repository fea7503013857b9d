package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Kind tells an engine's failures apart.
type Kind string

const (
	// Failed means that the engine did not answer as expected.
	Failed Kind = "failed"
	// Stale means that the engine refused an order because it knows a later epoch.
	Stale Kind = "stale"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Report is what an engine says of itself, with a lag.
type Report struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Leaving     bool              `json:"leaving"`
	InFlight    int               `json:"in_flight"`
	Slots       int               `json:"slots"`
	Model       string            `json:"model"`
	// Seq is the number of the latest cache event; Gap is set when earlier ones were dropped.
	Seq uint64 `json:"seq"`
	Gap bool   `json:"gap"`
	// Evicted are the chats whose prefix is no longer cached.
	Evicted []ident.ChatKey `json:"evicted,omitempty"`
}

// OrderKind is what an order asks for.
type OrderKind string

const (
	// LoadModel orders name the model that the engine is to have loaded.
	LoadModel OrderKind = "load_model"
	// ExportCache orders name another engine to which a chat's cached prefix is to be copied.
	ExportCache OrderKind = "export_cache"
)

// Order states a wanted end state, so that one sent twice does nothing more.
type Order struct {
	Kind  OrderKind   `json:"kind"`
	Epoch ident.Epoch `json:"epoch"`
	Model string      `json:"model,omitempty"`
	// Keys and To belong to ExportCache.
	Keys []ident.ChatKey `json:"keys,omitempty"`
	To   string          `json:"to,omitempty"`
}

// Headers that routers send to targets with each attempt.
const (
	// AttemptHeader carries the attempt's id, which a target may echo.
	AttemptHeader = "X-Attempt-Id"
	// CacheHeader carries the chat key that the engine's cache events name.
	CacheHeader = "X-Cache-Key"
	// FenceHeader carries the fencing token of a claim or an order.
	FenceHeader = "X-Fencing-Token"
	// LeavingHeader in an answer says that the target's incarnation is leaving.
	LeavingHeader = "X-Target-Leaving"
	// StreamHeader in an answer names the stream for resuming.
	StreamHeader = "X-Stream-Id"
)

// maxReport bounds a report, in bytes.
const maxReport = 4 << 20

// Client speaks to engines by address.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client whose calls are bounded by timeout.
func New(transport http.RoundTripper, timeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: transport}, timeout: timeout}
}

// Report reads an engine's report with the cache events after a number.
func (c *Client) Report(ctx context.Context, addr string, since uint64) (Report, error) {
	const op = "engine.Report"
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: addr, Path: "/v1/report"}
	target.RawQuery = url.Values{"since": {strconv.FormatUint(since, 10)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Report{}, fault.New(op, Failed, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Report{}, fault.New(op, Failed, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Report{}, fault.Newf(op, Failed, "status %d", resp.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&report); err != nil {
		return Report{}, fault.New(op, Failed, err)
	}
	return report, nil
}

// Send gives an engine an order.
func (c *Client) Send(ctx context.Context, addr string, order Order) error {
	const op = "engine.Send"
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return fault.New(op, Failed, err)
	}
	target := url.URL{Scheme: "http", Host: addr, Path: "/v1/orders"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return fault.New(op, Failed, err)
	}
	req.Header.Set(FenceHeader, strconv.FormatUint(uint64(order.Epoch), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.New(op, Failed, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReport))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fault.New(op, Stale, nil)
	default:
		return fault.Newf(op, Failed, "status %d", resp.StatusCode)
	}
}
