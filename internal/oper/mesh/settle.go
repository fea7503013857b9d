package mesh

import (
	"context"

	"github.com/go-kit/log/level"

	"valescale/internal/rule/place"
)

// Refresh brings pools, homes and permits up to date with membership and configuration.
func (m *Mesh) Refresh(ctx context.Context) {
	m.Update()
	m.settle(ctx)
}

// settle tells homes what has moved to them and hands off shards. It waits for routers
// that may not answer, and so runs apart from Update.
func (m *Mesh) settle(ctx context.Context) {
	m.settling.Lock()
	defer m.settling.Unlock()
	m.refreshing.Lock()
	moved := m.moved
	m.moved = nil
	m.refreshing.Unlock()
	m.Router.Move(ctx, moved)
	m.handOff(ctx, m.Set().Live)
	m.regroup(ctx, m.Set().Live)
}

// regroup passes on the chat places of pools that have other shards now.
func (m *Mesh) regroup(ctx context.Context, live *place.Assignment) {
	for _, p := range m.Homes.Regrouped() {
		p.To = live.Home(p.ID)
		if p.To == m.Self.ID {
			m.Homes.Accept(p)
			continue
		}
		if err := m.Remote.Handoff(ctx, p); err != nil {
			_ = level.Warn(m.Logger).Log("msg", "places not passed on", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To, "err", err)
		}
	}
}

// handOff passes on the shards that another router is home of now.
func (m *Mesh) handOff(ctx context.Context, live *place.Assignment) {
	for _, p := range m.Homes.Misplaced(live.Home) {
		if err := m.Remote.Handoff(ctx, p); err != nil {
			_ = level.Warn(m.Logger).Log("msg", "handoff failed", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To, "err", err)
			continue
		}
		m.Homes.Moved(p.ID, p.To)
		_ = level.Info(m.Logger).Log("msg", "shard handed off", "pool", p.ID.Pool, "shard", p.ID.Shard, "to", p.To,
			"places", len(p.Places))
	}
}

// publish tells the routers next in line what this router's homes count. Routers that
// are thought dead are told too: if they are not, they may well believe to be home
// themselves.
func (m *Mesh) publish(ctx context.Context) {
	set := m.Set()
	for _, p := range m.Homes.Publications(set.Live, set.Known) {
		for _, to := range p.To {
			m.Remote.Publish(to, p.Digest)
		}
		if p.Whole != nil {
			// If it does not arrive, the standby learns the places as chats return.
			_ = m.Remote.Handoff(ctx, *p.Whole)
		}
	}
}
