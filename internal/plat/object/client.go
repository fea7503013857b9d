package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"valescale/internal/plat/fault"
)

// Kind tells the object store's failures apart.
type Kind string

const (
	// Missing means that there is no object of that name.
	Missing Kind = "missing"
	// Failed means that the store did not answer as expected.
	Failed Kind = "failed"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Client speaks to the object store over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	limit   int64
}

// New returns a client that reads objects of at most limit bytes.
func New(base string, transport http.RoundTripper, timeout time.Duration, limit int64) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout, limit: limit}
}

// Put stores an object; storing the same object again is harmless.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, "object.Put", http.MethodPut, name, data)
	return err
}

// Get reads an object whole.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, "object.Get", http.MethodGet, name, nil)
}

func (c *Client) call(ctx context.Context, op, method, name string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/object/"+url.PathEscape(name), bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(op, Failed, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(op, Failed, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.limit+1))
	if err != nil {
		return nil, fault.New(op, Failed, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, fault.New(op, Missing, nil)
	}
	if resp.StatusCode != http.StatusOK || int64(len(data)) > c.limit {
		return nil, fault.Newf(op, Failed, "status %d, %d bytes", resp.StatusCode, len(data))
	}
	return data, nil
}
