package boxes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/head"
	"valescale/internal/plat/ident"
)

// Kind classifies errors of reading the list.
type Kind string

// Failed means that the list could not be read; callers keep using the list read before.
const Failed Kind = "failed"

// Error is this package's error type.
type Error = fault.Error[Kind]

// State is the lifecycle state of a box as reported by the platform.
type State string

const (
	// Live boxes accept new work.
	Live State = "live"
	// Leaving boxes finish running work and accept no new work.
	Leaving State = "leaving"
)

// Role is the kind of program that runs on a box.
type Role string

const (
	// RouterRole boxes run valescale.
	RouterRole Role = "router"
	// TargetRole boxes run an engine or a plain service.
	TargetRole Role = "target"
)

// Box is one entry of the list.
type Box struct {
	ID          string            `json:"id"`
	Role        Role              `json:"role"`
	Addr        string            `json:"addr"`
	Service     ident.Service     `json:"service,omitempty"`
	Zone        ident.Zone        `json:"zone"`
	Region      ident.Region      `json:"region"`
	State       State             `json:"state"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Cores is the processor time that the box may use, in cores; zero if unknown.
	Cores ident.Cores `json:"cores,omitempty"`
}

// maxListBytes limits the size of the list that is read.
const maxListBytes = 16 << 20

// Client reads the list over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	mu      sync.Mutex
	// etag and list are from the latest response. The ETag is sent with the next request, so that
	// an unchanged list is not transferred again.
	etag string
	list []Box
}

// New returns a client of the list at a base URL; timeout limits each call.
func New(base string, transport http.RoundTripper, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Transport: head.Transport(transport)}, timeout: timeout}
}

// List returns the whole list; the caller must not modify it.
func (c *Client) List(ctx context.Context) ([]Box, error) {
	const op = "boxes.List"
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/boxes", nil)
	if err != nil {
		return nil, fault.New(op, Failed, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(op, Failed, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return c.list, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Newf(op, Failed, "status %d", resp.StatusCode)
	}
	var list []Box
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, fault.New(op, Failed, err)
	}
	c.etag, c.list = resp.Header.Get("ETag"), list
	return list, nil
}
