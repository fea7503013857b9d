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
		r.sync(ctx, m.id, m.old)
		r.withdraw(ctx, m)
	}
}

// homeOf is the home of a shard among the routers that answer; the caller holds the lock.
func (r *Router) homeOf(id place.ShardID) ident.Router {
	home := r.assigned.Home(id)
	if until, silent := r.silent[home]; !silent || !r.clock().Before(until) {
		return home
	}
	return r.assigned.Next(id, home)
}

// silentFor is how long a home that did not answer is passed over for the next in line.
const silentFor = 3 * time.Second

// Returned notes that a router has answered or started anew: it is no longer passed over.
func (r *Router) Returned(router ident.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, router)
}

// passOver asks the next in line instead of a home that did not answer, until
// membership knows whether it is gone.
func (r *Router) passOver(ctx context.Context, home ident.Router) {
	r.mu.Lock()
	now := r.clock()
	passed := now.Before(r.silent[home])
	r.silent[home] = now.Add(silentFor)
	if r.watcher != nil && !passed {
		r.watcher.PassedOver(home, silentFor)
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
		if m, moved := r.follow(id, r.homeOf(id)); moved {
			out = append(out, m)
		}
	}
	return out
}

// follow notes the home that counts the permits held in a shard from now on, and reports whether it
// is another one, which must be told of them; the caller holds the lock.
func (r *Router) follow(id place.ShardID, now ident.Router) (Move, bool) {
	old := r.granted[id]
	if len(r.held[id]) == 0 || now == old {
		return Move{}, false
	}
	r.granted[id] = now
	r.forgetHome(id)
	return Move{id: id, old: old}, true
}

// forgetHome has the next request tell the shard's new home what the others said.
func (r *Router) forgetHome(id place.ShardID) {
	for _, pools := range r.pools {
		for _, p := range pools {
			if p.Name == id.Pool {
				p.picture.NewHome(id.Shard)
			}
		}
	}
}

// debt is a withdrawal that an earlier home has not confirmed.
type debt struct {
	id   place.ShardID
	home ident.Router
}

// owe notes that a home may count permits of this router that another counts now; the
// caller holds the lock.
func (r *Router) owe(id place.ShardID, to ident.Router) {
	if to != "" && to != r.self.ID {
		r.owed[debt{id, to}] = r.permit
	}
}

// payOwed tries the withdrawals again that were not confirmed.
func (r *Router) payOwed(ctx context.Context) {
	r.mu.Lock()
	var due []Move
	for d := range r.owed {
		if r.homeOf(d.id) == d.home {
			// It is home again and has been told what this router holds.
			delete(r.owed, d)
			continue
		}
		due = append(due, Move{id: d.id, old: d.home})
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
	r.owe(m.id, m.old)
	upto := r.permit
	r.mu.Unlock()
	err := r.homes.Withdraw(ctx, m.old, m.id, upto)
	r.mu.Lock()
	defer r.mu.Unlock()
	// A router that membership has forgotten counts nothing any more.
	if err == nil || fault.KindOf[home.Kind](err) == home.Unknown {
		delete(r.owed, debt{m.id, m.old})
	}
}
