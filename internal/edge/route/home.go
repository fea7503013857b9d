package route

import (
	"context"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/home"
)

// Move sends the permits that this router holds to the new homes of shards, and withdraws them from
// the earlier homes.
func (r *Router) Move(ctx context.Context, moved []Move) {
	for _, m := range moved {
		r.syncPermits(ctx, m.id, m.old)
		r.withdraw(ctx, m)
	}
}

// homeOf returns the home of a shard, or the standby while the home is skipped. The caller holds
// the lock.
func (r *Router) homeOf(id place.ShardID) ident.Router {
	home := r.assigned.Home(id)
	if until, skipped := r.skipped[home]; !skipped || !r.clock().Before(until) {
		return home
	}
	return r.assigned.Next(id, home)
}

// homeSkipTime is how long the standby is used in place of a home that did not respond.
const homeSkipTime = 3 * time.Second

// ResetHome records that a router responded or restarted. It is no longer skipped.
func (r *Router) ResetHome(router ident.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.skipped, router)
}

// skipHome uses the standby in place of a home that did not respond, until membership has
// established whether the home has failed.
func (r *Router) skipHome(ctx context.Context, home ident.Router) {
	r.mu.Lock()
	now := r.clock()
	alreadySkipped := now.Before(r.skipped[home])
	r.skipped[home] = now.Add(homeSkipTime)
	if r.watcher != nil && !alreadySkipped {
		r.watcher.HomeSkipped(home, homeSkipTime)
	}
	moved := r.movedShards()
	r.mu.Unlock()
	r.Move(ctx, moved)
}

// Move is a shard whose home differs from the one that granted the permits held here.
type Move struct {
	id  place.ShardID
	old ident.Router
}

// movedShards returns the shards with held permits whose home has changed.
func (r *Router) movedShards() []Move {
	var out []Move
	for id := range r.held {
		if m, moved := r.updateCountingHome(id, r.homeOf(id)); moved {
			out = append(out, m)
		}
	}
	return out
}

// updateCountingHome records the current home of a shard as the one that counts the held permits.
// It returns true if it is another one than before, to which the permits must be sent. The caller
// holds the lock.
func (r *Router) updateCountingHome(id place.ShardID, current ident.Router) (Move, bool) {
	old := r.countingHome[id]
	if len(r.held[id]) == 0 || current == old {
		return Move{}, false
	}
	r.countingHome[id] = current
	r.resetSentLoads(id)
	return Move{id: id, old: old}, true
}

// resetSentLoads makes the next permit request include all shard loads, since the shard's new home
// has none of them.
func (r *Router) resetSentLoads(id place.ShardID) {
	for _, pools := range r.pools {
		for _, p := range pools {
			if p.Name == id.Pool {
				p.state.ResetHome(id.Shard)
			}
		}
	}
}

// withdrawal is a withdrawal of permits that an earlier home has not confirmed.
type withdrawal struct {
	id   place.ShardID
	home ident.Router
}

// queueWithdrawal records that a home may count permits of this router that another home counts
// now. The caller holds the lock.
func (r *Router) queueWithdrawal(id place.ShardID, to ident.Router) {
	if to != "" && to != r.self.ID {
		r.pendingWithdrawals[withdrawal{id, to}] = r.permit
	}
}

// retryWithdrawals retries the unconfirmed withdrawals.
func (r *Router) retryWithdrawals(ctx context.Context) {
	r.mu.Lock()
	var due []Move
	for w := range r.pendingWithdrawals {
		if r.homeOf(w.id) == w.home {
			// The router is home of the shard again and has received the held permits.
			delete(r.pendingWithdrawals, w)
			continue
		}
		due = append(due, Move{id: w.id, old: w.home})
	}
	r.mu.Unlock()
	for _, m := range due {
		r.withdraw(ctx, m)
	}
}

// withdraw notifies the earlier home of a shard that another home counts this router's permits.
// Without it the permits would be counted twice if the earlier home still acts as home.
func (r *Router) withdraw(ctx context.Context, m Move) {
	if m.old == "" {
		return
	}
	r.mu.Lock()
	r.queueWithdrawal(m.id, m.old)
	maxID := r.permit
	r.mu.Unlock()
	err := r.homes.Withdraw(ctx, m.old, m.id, maxID)
	r.mu.Lock()
	defer r.mu.Unlock()
	// A router that was removed from membership counts no permits.
	if err == nil || fault.KindOf[home.Kind](err) == home.Unknown {
		delete(r.pendingWithdrawals, withdrawal{m.id, m.old})
	}
}
