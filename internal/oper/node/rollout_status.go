package node

import (
	"cmp"
	"context"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
)

// statusRow is a status with the version of its row.
type statusRow struct {
	canary.Status
	version table.Version
}

// verdictRetryDelay is how long a verdict may take to be written to the store and read back
// before it is written again.
const verdictRetryDelay = time.Second

// awaitStatuses makes the trial of each version wait until the statuses are read: it may have been reverted.
func (r *rollouts) awaitStatuses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaitsStatuses = true
}

// setStatuses sets all statuses of the store and reports whether any changed.
func (r *rollouts) setStatuses(statuses map[ident.Service]statusRow) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaitsStatuses = false
	before := r.statuses
	r.statuses = statuses
	for service, s := range statuses {
		if before[service].Status == s.Status {
			continue
		}
		changed = true
		if ro := r.current[service]; ro != nil {
			r.decide(ro)
		}
		_ = level.Info(r.logger).Log("msg", "rollout status", "service", service, "version", s.Version, "state", s.State, "order", s.Number)
	}
	return changed
}

// decide applies the final status of a rollout, if the store has one. It stays known if the store loses it. The
// caller holds the lock.
func (r *rollouts) decide(ro *rollout) {
	if s := r.statuses[ro.order.Service]; s.Final() && s.BelongsTo(ro.order) {
		ro.decided = s.State
	}
}

// state returns the state of a rollout. The caller holds the lock.
func (r *rollouts) state(ro *rollout) canary.State { return cmp.Or(ro.decided, canary.Active) }

// verdicts returns the statuses that are known and are not in the store, with the versions of their rows, given
// the latest era of the statuses' table.
func (r *rollouts) verdicts(era table.Era) []statusRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []statusRow
	now := r.clock()
	for service, ro := range r.current {
		stored := r.statuses[service]
		if stored.Era < era {
			// A store that was restored from an older snapshot has lost the row.
			stored = statusRow{}
		}
		next := r.verdict(ro)
		if !ro.writes(next, stored, era) || now.Sub(ro.verdictAt) < verdictRetryDelay {
			continue
		}
		ro.verdictAt = now
		out = append(out, statusRow{
			Status:  canary.Status{Service: service, Version: ro.order.Version, State: next, Number: ro.order.Number},
			version: stored.version,
		})
	}
	return out
}

// verdict returns the state of a rollout that is known or follows from the evidence. The caller holds the lock.
func (r *rollouts) verdict(ro *rollout) canary.State {
	state := r.state(ro)
	switch {
	case state != canary.Active:
		return state
	case r.isBad(ro):
		return canary.Reverted
	case !r.clock().Before(ro.order.DoneAt(ro.receivedAt)) && ro.totalEvidence().Sound():
		return canary.Done
	}
	return canary.Active
}

// writes reports whether a state is to be written over the status in the store. A decided rollout is written
// again if the store has lost that, or has it under a number that earlier releases do not recognize. It does not
// replace the status of another order, which may be a later one.
func (ro *rollout) writes(next canary.State, stored statusRow, era table.Era) bool {
	if ro.lost || ro.order.Era != era {
		return false
	}
	isOwn := stored.BelongsTo(ro.order)
	if ro.decided == "" {
		return !isOwn || stored.State != next
	}
	return stored.Service == "" || isOwn && (stored.State != next || stored.Number != ro.order.Number)
}

// writeVerdicts writes the verdicts on rollouts to the store. Every reader of the store may do so:
// the check of the row's version accepts only one of them.
func (n *Node) writeVerdicts(ctx context.Context) {
	at, known := n.replicas.Position(n.Rows.StatusTable())
	if !known || !n.isStoreReader() {
		return
	}
	for _, v := range n.rollouts.verdicts(at.Era) {
		put := n.Rows.PutStatus(v.Status)
		err := n.Store.Commit(ctx, table.Txn{
			Checks: []table.Check{{Table: put.Table, Key: put.Key, Version: v.version}}, Puts: []table.Put{put},
		})
		_ = level.Info(n.Logger).Log("msg", "writing rollout verdict", "service", v.Service, "version", v.Version, "state", v.State,
			"order", v.Number, "row", v.version, "err", err)
	}
}
