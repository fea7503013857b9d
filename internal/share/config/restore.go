package config

import (
	"context"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// handleStoreBehind handles a store whose head is lower than the revision in force. If the store
// was restored from an older snapshot, the lost changes are rewritten. Otherwise it is not the
// store that this router followed, or it reads from a stale replica, and nothing is written.
func (f *Follower) handleStoreBehind(ctx context.Context, era table.Era, revision, current ident.Revision) error {
	const op = "config.Poll"
	if f.era == 0 || era <= f.era {
		return fault.Newf(op, Behind, "store has revision %d but revision %d is in force", revision, current)
	}
	if err := f.restoreChanges(ctx, revision); err != nil {
		return fault.Newf(op, Behind, "store has revision %d but revision %d is in force: %v", revision, current, err)
	}
	f.era = era
	f.setAlarm(AlarmStoreBehind, false)
	return nil
}

// restoreChanges rewrites the changes after a revision that the store has lost, from those in force
// on this router. If several routers do so at once, the transaction's checks let only one succeed.
func (f *Follower) restoreChanges(ctx context.Context, revision ident.Revision) error {
	const op = "config.Restore"
	changes, found := f.keeper.Since(max(revision, 1) - 1)
	if !found {
		return fault.Newf(op, Behind, "store has revision %d and this router no longer has all changes since", revision)
	}
	if revision > 0 {
		if err := f.recorder.checkSameChange(ctx, changes[0]); err != nil {
			return err
		}
		changes = changes[1:]
	}
	for _, c := range changes {
		if err := f.recorder.rewriteChange(ctx, c); err != nil {
			return err
		}
		_ = level.Warn(f.logger).Log("msg", "rewrote a change that the store had lost", "revision", c.Revision, "change", c.ID)
	}
	return nil
}

// checkSameChange verifies that the store has the same change under a revision as this router. A
// router that did not have the lost change may have recorded another one in its place.
func (r *Recorder) checkSameChange(ctx context.Context, c Change) error {
	const op = "config.Restore"
	row, err := r.store.Get(ctx, ChangeTable, revisionKey(c.Revision))
	if err != nil {
		return fault.New(op, Unavailable, err)
	}
	stored, err := decode[Change](row)
	if err != nil {
		return err
	}
	if stored.ID != c.ID {
		return fault.Newf(op, Conflict, "revision %d is change %q in the store and change %q in force", c.Revision, stored.ID, c.ID)
	}
	return nil
}

// rewriteChange writes a change under its original revision if that is the next one.
func (r *Recorder) rewriteChange(ctx context.Context, c Change) error {
	const op = "config.Restore"
	s, err := r.readState(ctx, c.Documents)
	if err != nil {
		return err
	}
	if s.revision+1 != c.Revision {
		return fault.Newf(op, Conflict, "store has revision %d, cannot rewrite revision %d", s.revision, c.Revision)
	}
	if err := r.store.Commit(ctx, transaction(s, c)); err != nil {
		return fault.New(op, Unavailable, err)
	}
	return nil
}
