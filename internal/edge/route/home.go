package route

import (
	"context"
	"time"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/home"
)

// Move tells new homes what this router holds, and the earlier ones that it moved.
func (r *Router) Move(ctx context.Context, moved []Move) {
	for _, m := range moved {
		r.syncPermits(ctx, m.id, m.old)
		r.withdraw(ctx, m)
	}
}

// homeOf is the home of a shard among the routers that answer; the caller holds the lock.
func (r *Router) homeOf(id place.ShardID) ident.Router {
	home := r.assigned.Home(id)
	if until, skipped := r.skipped[home]; !skipped || !r.clock().Before(until) {
		return home
	}
	return r.assigned.Next(id, home)
}

// silentFor is how long a home that did not answer is passed over for the next in line.
const homeSkipTime = 3 * time.Second

// Returned notes that a router has answered or started anew: it is no longer passed over.
func (r *Router) Returned(router ident.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.skipped, router)
}

// passOver asks the next in line instead of a home that did not answer, until
// membership knows whether it is gone.
func (r *Router) skipHome(ctx context.Context, home ident.Router) {
	r.mu.Lock()
	now := r.clock()
	alreadySkipped := now.Before(r.skipped[home])
	r.skipped[home] = now.Add(homeSkipTime)
	if r.watcher != nil && !alreadySkipped {
		r.watcher.PassedOver(home, homeSkipTime)
	}
	moved := r.movedShards()
	r.mu.Unlock()
	r.Move(ctx, moved)
}

// Move is a shard whose home is another than the one that gave the permits held here.
type Move struct {
	id  place.ShardID
	old ident.Router
}

// movedShards lists the shards with permits here whose home has changed.
func (r *Router) movedShards() []Move {
	var out []Move
	for id := range r.held {
		if m, moved := r.updateCountingHome(id, r.homeOf(id)); moved {
			out = append(out, m)
		}
	}
	return out
}

// follow notes the home that counts the permits held in a shard from now on, and reports whether it
// is another one, which must be told of them; the caller holds the lock.
func (r *Router) updateCountingHome(id place.ShardID, current ident.Router) (Move, bool) {
	old := r.countingHome[id]
	if len(r.held[id]) == 0 || current == old {
		return Move{}, false
	}
	r.countingHome[id] = current
	r.resetSentLoads(id)
	return Move{id: id, old: old}, true
}

// forgetHome has the next request tell the shard's new home what the others said.
func (r *Router) resetSentLoads(id place.ShardID) {
	for _, pools := range r.pools {
		for _, p := range pools {
			if p.Name == id.Pool {
				p.state.NewHome(id.Shard)
			}
		}
	}
}

// debt is a withdrawal that an earlier home has not confirmed.
type withdrawal struct {
	id   place.ShardID
	home ident.Router
}

// owe notes that a home may count permits of this router that another counts now; the
// caller holds the lock.
func (r *Router) queueWithdrawal(id place.ShardID, to ident.Router) {
	if to != "" && to != r.self.ID {
		r.pendingWithdrawals[withdrawal{id, to}] = r.permit
	}
}

// payOwed tries the withdrawals again that were not confirmed.
func (r *Router) retryWithdrawals(ctx context.Context) {
	r.mu.Lock()
	var due []Move
	for w := range r.pendingWithdrawals {
		if r.homeOf(w.id) == w.home {
			// It is home again and has been told what this router holds.
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

// withdraw tells a shard's earlier home that this router's permits are counted
// elsewhere now. If that router still believes to be home, they would count twice.
func (r *Router) withdraw(ctx context.Context, m Move) {
	if m.old == "" {
		return
	}
	r.mu.Lock()
	r.queueWithdrawal(m.id, m.old)
	upto := r.permit
	r.mu.Unlock()
	err := r.homes.Withdraw(ctx, m.old, m.id, upto)
	r.mu.Lock()
	defer r.mu.Unlock()
	// A router that membership has forgotten counts nothing any more.
	if err == nil || fault.KindOf[home.Kind](err) == home.Unknown {
		delete(r.pendingWithdrawals, withdrawal{m.id, m.old})
	}
}
