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
	"valescale/internal/plat/head"
	"valescale/internal/plat/ident"
)

// Kind classifies errors of calls to engines.
type Kind string

const (
	// Failed means that the call failed or the response was not valid.
	Failed Kind = "failed"
	// Stale means that the engine rejected an order because it has received a later epoch.
	Stale Kind = "stale"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Report is the state that an engine reports; it lags behind the actual state.
type Report struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Leaving     bool              `json:"leaving"`
	InFlight    int               `json:"in_flight"`
	Slots       int               `json:"slots"`
	Model       string            `json:"model"`
	// Seq is the number of the latest cache event; Gap is set if earlier events were dropped.
	Seq uint64 `json:"seq"`
	Gap bool   `json:"gap"`
	// Evicted lists the chats whose prompt prefix is no longer cached.
	Evicted []ident.ChatKey `json:"evicted,omitempty"`
}

// OrderKind is the kind of an order.
type OrderKind string

const (
	// LoadModel orders set the model that the engine serves.
	LoadModel OrderKind = "load_model"
	// ExportCache orders copy the cached prefixes of chats to another engine.
	ExportCache OrderKind = "export_cache"
)

// Order is a command to an engine. It describes the desired state, so that applying it twice has no
// further effect.
type Order struct {
	Kind  OrderKind   `json:"kind"`
	Epoch ident.Epoch `json:"epoch"`
	Model string      `json:"model,omitempty"`
	// Keys and To are set for ExportCache only.
	Keys []ident.ChatKey `json:"keys,omitempty"`
	To   string          `json:"to,omitempty"`
}

// Headers that routers send to targets with each attempt.
const (
	// AttemptHeader contains the id of the attempt, which a target may echo.
	AttemptHeader = "X-Attempt-Id"
	// CacheHeader contains the chat key that the engine uses in its cache events.
	CacheHeader = "X-Cache-Key"
	// FenceHeader contains the fencing token of a claim or an order.
	FenceHeader = "X-Fencing-Token"
	// LeavingHeader in a response indicates that this incarnation of the target is leaving.
	LeavingHeader = "X-Target-Leaving"
	// StreamHeader in a response contains the id by which the stream can be resumed.
	StreamHeader = "X-Stream-Id"
)

// maxReportBytes limits the size of a report that is read.
const maxReportBytes = 4 << 20

// Client calls engines, which are given by address.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client; timeout limits each call.
func New(transport http.RoundTripper, timeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: head.Transport(transport)}, timeout: timeout}
}

// Report returns an engine's report with the cache events after the given sequence number.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, fault.New(op, Failed, err)
	}
	return report, nil
}

// Send sends an order to an engine.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fault.New(op, Stale, nil)
	default:
		return fault.Newf(op, Failed, "status %d", resp.StatusCode)
	}
}
