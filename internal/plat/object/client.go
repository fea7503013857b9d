package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/head"
)

// Kind classifies errors of the object store.
type Kind string

const (
	// Missing means that no object has the given name.
	Missing Kind = "missing"
	// Failed means that the call failed, the response was not valid, or the object exceeds the
	// limit.
	Failed Kind = "failed"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Client calls the object store over HTTP.
type Client struct {
	base     string
	http     *http.Client
	timeout  time.Duration
	maxBytes int64
}

// New returns a client that reads objects of at most maxBytes bytes; timeout limits each call.
func New(base string, transport http.RoundTripper, timeout time.Duration, maxBytes int64) *Client {
	return &Client{base: base, http: &http.Client{Transport: head.Transport(transport)}, timeout: timeout, maxBytes: maxBytes}
}

// Put stores an object. It is idempotent.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, "object.Put", http.MethodPut, name, data)
	return err
}

// Get returns the content of an object.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	if err != nil {
		return nil, fault.New(op, Failed, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, fault.New(op, Missing, nil)
	}
	if unmarked := resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0; unmarked {
		return nil, fault.Newf(op, Failed, "the end of the answer is not marked")
	}
	if resp.StatusCode != http.StatusOK || int64(len(data)) > c.maxBytes {
		return nil, fault.Newf(op, Failed, "status %d, %d bytes", resp.StatusCode, len(data))
	}
	return data, nil
}
