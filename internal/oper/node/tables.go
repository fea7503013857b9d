package node

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/peer"
)

// lostConfigTTL is how long rows written by operators stay valid after a store rollback has lost
// them. Operators write them again at an unknown time, and until then an availability zone that
// they closed would receive work.
const lostConfigTTL = time.Minute

// followTables connects the replicas of the store's tables with the state derived from them.
func (n *Node) followTables() {
	n.followRouters()
	revision := func(row table.Row) uint64 { return uint64(n.Rows.Revision(row)) }
	n.replicas.AddTable(n.Rows.ConfigTable(), feed.Rules{Rank: revision, MissingRowTTL: lostConfigTTL, NotifyRewrites: true}, func(change feed.Change) {
		rows := change.All()
		n.state.setConfig(rows)
		n.state.setClosed(rows)
		if n.rollouts.setRollouts(n.Rows.Rollouts(rows), change.At.Era) {
			n.reassign()
		}
		n.peers.UpdateView(func(v *peer.View) { v.RaiseHead(n.state.revision()) })
		n.mesh.RequestUpdate()
	})
	n.replicas.AddTable(n.Rows.TargetTable(), feed.Rules{MissingRowTTL: feed.RemovalGracePeriod}, func(change feed.Change) {
		update, restarted := n.state.updateTargets(change)
		for _, addr := range restarted {
			n.conns.CloseIdle(addr)
		}
		n.publishTargets(update)
		n.mesh.RequestUpdate()
	})
	if n.rollouts.enabled() {
		n.followStatuses()
	}
}

// followStatuses follows the statuses of rollouts.
func (n *Node) followStatuses() {
	n.rollouts.awaitStatuses()
	n.replicas.AddTable(n.Rows.StatusTable(), feed.Rules{MissingRowTTL: lostConfigTTL, NotifyRewrites: true}, func(change feed.Change) {
		statuses := map[ident.Service]statusRow{}
		for _, row := range change.All() {
			if s, found := n.Rows.Status(row); found {
				statuses[s.Service] = statusRow{Status: s, version: row.Version}
			}
		}
		if n.rollouts.setStatuses(statuses) {
			n.reassign()
		}
	})
}

// publishTargets applies changes of targets to the membership view.
func (n *Node) publishTargets(update peer.TargetChanges) {
	n.peers.UpdateView(func(v *peer.View) { v.ObserveTargets(n.Clock(), update) })
}

// followRouters applies routers' rows to the membership view as they are written. Routers that
// start together therefore discover each other at once, with one read of the table per zone. Gossip
// reports which of them are live.
func (n *Node) followRouters() {
	n.replicas.AddTable(routerTable, feed.Rules{MissingRowTTL: lostConfigTTL}, func(change feed.Change) {
		list := n.state.decodeRouters(change.Rows)
		n.peers.UpdateView(func(v *peer.View) { v.ObserveRouters(n.Clock(), list) })
	})
}

// updateRouters applies the routers listed in the store to the membership view.
func (n *Node) updateRouters() {
	n.peers.UpdateView(func(v *peer.View) { v.ObserveRouters(n.Clock(), n.state.routerBoxes()) })
}

// followedTables returns the tables that routers follow.
func (n *Node) followedTables() []table.Name {
	names := []table.Name{n.Rows.ConfigTable(), n.Rows.TargetTable(), routerTable}
	if n.rollouts.enabled() {
		names = append(names, n.Rows.StatusTable())
	}
	return names
}

// follower returns the follower of one table.
func (n *Node) follower(name table.Name) *feed.Follower {
	seed := uint64(n.self.ID.Hash())
	return feed.NewFollower(n.replicas, n.Store, name, feed.DefaultTiming, n.roles, n.Logger, seed)
}
