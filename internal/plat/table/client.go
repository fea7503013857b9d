package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/head"
)

// maxResponseBytes limits the size of a response that is read.
const maxResponseBytes = 64 << 20

// Counts are the numbers of calls that a client has made.
type Counts struct {
	Reads  uint64
	Writes uint64
	Failed uint64
}

// HeaderEra is a header of all responses of the service. It contains the era, the number of times
// the service has been restored from an older snapshot.
const HeaderEra = "Table-Era"

// Client calls the table service over HTTP. It tracks the service's era by the responses.
type Client struct {
	*Eras
	base    string
	http    *http.Client
	timeout time.Duration
	reads   atomic.Uint64
	writes  atomic.Uint64
	failed  atomic.Uint64
	up      atomic.Bool
}

// New returns a client of the service at a base URL; timeout limits each call.
func New(base string, transport http.RoundTripper, timeout time.Duration, logger log.Logger) *Client {
	c := &Client{Eras: NewEras(logger), base: base, http: &http.Client{Transport: head.Transport(transport)}, timeout: timeout}
	c.up.Store(true)
	return c
}

// Up reports whether the latest call got a valid response.
func (c *Client) Up() bool { return c.up.Load() }

// Counts returns the numbers of calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load(), Failed: c.failed.Load()}
}

// Commit applies a transaction atomically.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	const op = "table.Commit"
	c.writes.Add(1)
	body, err := json.Marshal(txn)
	if err != nil {
		return fault.New(op, Rejected, err)
	}
	_, err = c.call(ctx, op, http.MethodPost, "/v1/commit", body, nil)
	return err
}

// Get reads one row. The era of the response is set in the returned row even if the row is missing.
func (c *Client) Get(ctx context.Context, name Name, key Key) (Row, error) {
	c.reads.Add(1)
	var row Row
	query := url.Values{"table": {string(name)}, "key": {string(key)}}
	era, err := c.call(ctx, "table.Get", http.MethodGet, "/v1/row?"+query.Encode(), nil, &row)
	row.Era = era
	return row, err
}

// Scan returns rows in key order.
func (c *Client) Scan(ctx context.Context, r Range) ([]Row, error) {
	c.reads.Add(1)
	var rows []Row
	query := url.Values{"table": {string(r.Table)}, "from": {string(r.From)}, "limit": {strconv.Itoa(r.Limit)}}
	era, err := c.call(ctx, "table.Scan", http.MethodGet, "/v1/scan?"+query.Encode(), nil, &rows)
	for i := range rows {
		rows[i].Era = era
	}
	return rows, err
}

// call sends one request, decodes the response into dest unless that is nil, and returns the era of
// the response.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, dest any) (Era, error) {
	startEra := c.CurrentEra()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return startEra, fault.New(op, Rejected, err)
	}
	// Without GetBody the transport cannot retry a commit by itself.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return startEra, c.fail(op, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return startEra, c.fail(op, err)
	}
	era := c.EraOf(resp.Header.Get(HeaderEra), startEra)
	kind := errorKindOf(resp.StatusCode)
	if kind == Unknown || kind == Unavailable {
		c.failed.Add(1)
		c.up.Store(false)
		return era, fault.Newf(op, kind, "status %d", resp.StatusCode)
	}
	c.up.Store(true)
	if kind != "" {
		return era, fault.Newf(op, kind, "status %d", resp.StatusCode)
	}
	if dest == nil {
		return era, nil
	}
	if err := json.Unmarshal(data, dest); err != nil {
		return era, fault.New(op, Unknown, err)
	}
	return era, nil
}

// fail counts a call without a complete response and returns its error.
func (c *Client) fail(op string, err error) error {
	c.failed.Add(1)
	c.up.Store(false)
	return fault.New(op, KindOfCallError(err), err)
}

// errorKindOf returns the error kind of a response status, empty for a success.
func errorKindOf(status int) Kind {
	switch {
	case status == http.StatusOK:
		return ""
	case status == http.StatusConflict:
		return Conflict
	case status == http.StatusNotFound:
		return Missing
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Unavailable
	case status >= http.StatusInternalServerError:
		return Unknown
	default:
		return Rejected
	}
}
