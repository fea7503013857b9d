package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// RestoreDelay is how long no claims are made after the store was restored from an older snapshot.
// Each router detects the rollback within a second and rewrites the claims that the snapshot lacks.
const RestoreDelay = 3 * time.Second

// onRestore rewrites this router's claims and blocks new ones until other routers have had time to
// rewrite theirs: a missing claim may be a lost one. The first era that a process hears of may have
// begun just now.
func (c *Claims) onRestore(era, previous table.Era) {
	if era <= originalEra {
		return
	}
	c.mu.Lock()
	c.era, c.blockedUntil = era, c.clock().Add(RestoreDelay)
	if previous != 0 {
		c.restoreCount++
	}
	c.mu.Unlock()
	if previous == 0 {
		_ = level.Info(c.logger).Log("msg", "new claims are blocked at first, unless another router has recorded that it waited in this era",
			"era", era, "for_ms", RestoreDelay.Milliseconds())
		return
	}
	claims := c.recentClaims.attempts()
	_ = level.Warn(c.logger).Log("msg", "store restored from an older snapshot; new claims are blocked while this router rewrites its recent ones", "era", era,
		"claims", len(claims), "for_ms", RestoreDelay.Milliseconds())
	c.outcomeWrites.background(func(ctx context.Context) {
		var wg sync.WaitGroup
		defer wg.Wait()
		for chunk := range slices.Chunk(claims, max(1, (len(claims)+rewriteWorkers-1)/rewriteWorkers)) {
			wg.Go(func() { c.rewriteClaims(ctx, chunk) })
		}
	})
}

// rewriteWorkers is the number of claims rewritten concurrently. Some hundred claims, each taking
// milliseconds, must be rewritten within RestoreDelay.
const rewriteWorkers = 16

// rewriteClaims rewrites a list of claims one by one.
func (c *Claims) rewriteClaims(ctx context.Context, claims []ident.Attempt) {
	for _, attempt := range claims {
		for retries := 0; !c.rewriteClaim(ctx, attempt, retries) && pause.Sleep(ctx, c.options.RetryDelay); retries++ {
		}
	}
}

// maxReleaseChecks limits how often a row held by another router's claim is read again while that
// claim is expected to be released.
const maxReleaseChecks = 20

// restores returns the number of store rollbacks so far, and whether claims are blocked because
// of one.
func (c *Claims) restores() (restoreCount int, settling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restoreCount, c.clock().Before(c.blockedUntil)
}

// checkNotRestored returns an error if the store was restored from an older snapshot since it had
// been restored the given number of times. A claim made after that may replace a lost one.
func (c *Claims) checkNotRestored(since int) error {
	if count, settling := c.restores(); settling || count != since {
		return fault.Newf("claim.Begin", Restored, "the store was restored from an older snapshot and may lack claims")
	}
	return nil
}

// rewriteClaim writes a claim as this router last wrote it, unless the store already has it in that
// state. It reports whether no further attempt is needed. A claim that another router has just made
// in its place is about to be released, so the row is checked again later.
func (c *Claims) rewriteClaim(ctx context.Context, attempt ident.Attempt, retries int) bool {
	m, found := c.recentClaims.get(attempt)
	if !found {
		return true
	}
	row, record, err := c.readRow(ctx, m.key)
	// The request may have ended during the read.
	if m, found = c.recentClaims.get(attempt); !found {
		return true
	}
	own := err == nil && record != nil && record.Attempt == attempt
	switch {
	case err != nil:
		_ = level.Error(c.logger).Log("msg", "cannot rewrite a claim after a store rollback", "attempt", attempt, "err", err)
		return true
	case record == nil && m.record.State == Released, own && (record.State == m.record.State || record.State == Done):
		c.recentClaims.setVersion(attempt, row.Version)
		return true
	case record != nil && !own && record.State == Sent && retries < maxReleaseChecks:
		return false
	case record != nil && !own && record.State != Released:
		_ = level.Error(c.logger).Log("msg", "lost claim not rewritten: another attempt has claimed its key", "attempt", attempt,
			"state", m.record.State, "other", record.Attempt, "other_state", record.State)
		return true
	}
	c.recentClaims.setVersion(attempt, row.Version+1)
	err = c.outcomeWrites.submit(ctx, newWrite(m.key, row.Version, m.record))
	// After a conflict the row must be read again: a retry after a lost response conflicts with the
	// version that the first attempt wrote.
	return table.KindOf(err) != table.Conflict
}
