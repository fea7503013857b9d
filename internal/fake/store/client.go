package store

import (
	"context"
	"strconv"

	"github.com/go-kit/log"

	"valescale/internal/plat/table"
)

// Client is one router's client of a fake store. Like the client over HTTP, it receives the store's
// era with each response.
type Client struct {
	*table.Eras
	store *Store
}

// NewClient returns a client that has not received an era yet.
func NewClient(s *Store) *Client {
	return &Client{Eras: table.NewEras(log.NewNopLogger()), store: s}
}

// Commit applies a transaction atomically.
func (c *Client) Commit(ctx context.Context, txn table.Txn) error {
	before := c.CurrentEra()
	err := c.store.Commit(ctx, txn)
	c.observeEra(before, err)
	return err
}

// Get returns one row.
func (c *Client) Get(ctx context.Context, name table.Name, key table.Key) (table.Row, error) {
	before := c.CurrentEra()
	row, err := c.store.Get(ctx, name, key)
	row.Era = c.observeEra(before, err)
	return row, err
}

// Scan returns rows in key order.
func (c *Client) Scan(ctx context.Context, r table.Range) ([]table.Row, error) {
	before := c.CurrentEra()
	rows, err := c.store.Scan(ctx, r)
	era := c.observeEra(before, err)
	for i := range rows {
		rows[i].Era = era
	}
	return rows, err
}

// observeEra records the era of a response and returns it. A call without a response has no era:
// the one from before the call is returned.
func (c *Client) observeEra(before table.Era, err error) table.Era {
	if kind := table.KindOf(err); kind == table.Unavailable || kind == table.Unknown {
		return before
	}
	return c.EraOf(strconv.FormatUint(uint64(c.store.Era()), 10), before)
}
