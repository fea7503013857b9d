package claim

import (
	"context"
	"encoding/json"

	"valescale/internal/plat/table"
)

// settledTable and settledKey name the row that tells the latest era in which a router has waited
// for RestoreDelay. A restored store has the row of an earlier era, or none.
const (
	settledTable table.Name = "claim_era"
	settledKey   table.Key  = "settled"
)

// originalEra is the era of a store that was never restored, which lacks no claims.
const originalEra table.Era = 1

// settledRecord is the value of the row.
type settledRecord struct {
	Era table.Era `json:"era"`
}

// isSettled reports whether a row tells that the lost claims of the era in which it was read are
// rewritten.
func isSettled(row table.Row) bool {
	var r settledRecord
	return json.Unmarshal(row.Value, &r) == nil && r.Era == row.Era
}

// endFirstBlock ends the block of a process that has heard of one era only, if another router has
// waited in that era. Routers that have observed a rollback wait until their own claims are rewritten.
func (c *Claims) endFirstBlock(ctx context.Context) {
	if restores, settling := c.restores(); restores > 0 || !settling {
		return
	}
	row, err := c.store.Get(ctx, settledTable, settledKey)
	if err != nil || !isSettled(row) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restoreCount == 0 {
		c.blockedUntil = c.clock()
	}
}

// recordSettled writes once in each era that this router has waited in it.
func (c *Claims) recordSettled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	era := c.era
	if era <= originalEra || era == c.recordedEra || c.clock().Before(c.blockedUntil) {
		return
	}
	c.recordedEra = era
	c.outcomeWrites.background(func(ctx context.Context) {
		if c.writeSettled(ctx, era) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordedEra = 0
	})
}

// writeSettled writes the row unless another router has done so. It reports whether no further
// attempt is needed.
func (c *Claims) writeSettled(ctx context.Context, era table.Era) bool {
	row, err := c.store.Get(ctx, settledTable, settledKey)
	if err != nil && table.KindOf(err) != table.Missing {
		return false
	}
	if isSettled(row) || row.Era != era {
		return true
	}
	value, err := json.Marshal(settledRecord{Era: era})
	if err != nil {
		return true
	}
	err = c.store.Commit(ctx, table.Txn{
		Checks: []table.Check{{Table: settledTable, Key: settledKey, Version: row.Version}},
		Puts:   []table.Put{{Table: settledTable, Key: settledKey, Value: value}},
	})
	return err == nil || table.KindOf(err) == table.Conflict
}
