package mesh

import (
	"context"

	"github.com/go-kit/log/level"

	"valescale/internal/rule/place"
)

// Refresh updates pools, homes and permits from membership and configuration.
func (m *Mesh) Refresh(ctx context.Context) {
	m.Update()
	m.reassign(ctx)
}

// reassign reports moved permits to their new homes and hands off shards. It runs separately from
// Update because it waits for routers that may not respond.
func (m *Mesh) reassign(ctx context.Context) {
	m.reassignMu.Lock()
	defer m.reassignMu.Unlock()
	m.updateMu.Lock()
	movedPermits := m.movedPermits
	m.movedPermits = nil
	m.updateMu.Unlock()
	m.Router.Move(ctx, movedPermits)
	m.handOff(ctx, m.Set().Live)
	m.forwardResharded(ctx, m.Set().Live)
}

// forwardResharded hands off the cache holders of prompt prefixes in pools whose shards have
// changed.
func (m *Mesh) forwardResharded(ctx context.Context, live *place.Assignment) {
	for _, p := range m.Homes.TakeResharded() {
		p.To = live.Home(p.ID)
		if p.To == m.Self.ID {
			m.Homes.Accept(p)
			continue
		}
		if err := m.Remote.Handoff(ctx, p); err != nil {
			_ = level.Warn(m.Logger).Log("msg", "handoff of cache holders failed", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To, "err", err)
		}
	}
}

// handOff hands off the shards whose home is now another router.
func (m *Mesh) handOff(ctx context.Context, live *place.Assignment) {
	for _, p := range m.Homes.PendingTransfers(live.Home) {
		if err := m.Remote.Handoff(ctx, p); err != nil {
			_ = level.Warn(m.Logger).Log("msg", "shard handoff failed", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To, "err", err)
			continue
		}
		m.Homes.Moved(p.ID, p.To)
		_ = level.Info(m.Logger).Log("msg", "shard handed off", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To,
			"places", len(p.Places))
	}
}

// publish sends the counts of this router's homes to the standbys. Routers that are considered dead
// receive them as well: if they are not dead, they may consider themselves home of the shard.
func (m *Mesh) publish(ctx context.Context) {
	set := m.Set()
	for _, p := range m.Homes.Publications(set.Live, set.Known) {
		for _, to := range p.To {
			m.Remote.Publish(to, p.Digest)
		}
		if p.FullPlaces != nil {
			// If the handoff fails, the standby gets the cache holders from the requests of later
			// chat turns.
			_ = m.Remote.Handoff(ctx, *p.FullPlaces)
		}
	}
}
