package node

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/peer"
)

// configLostFor is for how long what operators have written counts once a store that has come back from an
// older copy lacks it: operators write it again, but when nobody can say, and an availability zone that they
// closed would get work meanwhile.
const lostConfigTTL = time.Minute

// followTables connects the copies of the store's tables with what is made of them.
func (n *Node) followTables() {
	n.followRouters()
	revision := func(row table.Row) uint64 { return uint64(n.Rows.Revision(row)) }
	n.board.Follow(n.Rows.ConfigTable(), feed.Rules{Rank: revision, LostFor: lostConfigTTL, Anew: true}, func(change feed.Change) {
		rows := change.All()
		n.state.setConfig(rows)
		n.state.setClosed(rows)
		if n.rollouts.setRollouts(n.Rows.Orders(rows)) {
			n.reassign()
		}
		n.peers.Do(func(v *peer.View) { v.RaiseHead(n.state.revision()) })
		n.mesh.MarkDirty()
	})
	n.board.Follow(n.Rows.TargetTable(), feed.Rules{LostFor: feed.LapseGrace}, func(change feed.Change) {
		update, restarted := n.state.updateTargets(change)
		for _, addr := range restarted {
			n.conns.Forget(addr)
		}
		n.publishTargets(update)
		n.mesh.MarkDirty()
	})
	if n.rollouts.enabled() {
		n.followStatuses()
	}
}

// followStatuses follows what became of orders to move services to other versions.
func (n *Node) followStatuses() {
	n.board.Follow(n.Rows.StatusTable(), feed.Rules{LostFor: lostConfigTTL}, func(change feed.Change) {
		statuses := map[ident.Service]statusRow{}
		for _, row := range change.Rows {
			if s, found := n.Rows.Status(row); found {
				statuses[s.Service] = statusRow{Status: s, version: row.Version}
			}
		}
		if n.rollouts.setStatuses(statuses) {
			n.reassign()
		}
	})
}

// observeTargets tells membership what is new of targets.
func (n *Node) publishTargets(update peer.TargetNews) {
	n.peers.Do(func(v *peer.View) { v.ObserveTargets(n.Clock(), update) })
}

// followRouters has membership learn of routers from their rows as they are written. All that start together know each
// other so within a moment, from one reading a zone; who lives and who does not they tell each other.
func (n *Node) followRouters() {
	n.board.Follow(routerTable, feed.Rules{LostFor: lostConfigTTL}, func(change feed.Change) {
		list := n.state.decodeRouters(change.Rows)
		n.peers.Do(func(v *peer.View) { v.ObserveRouters(n.Clock(), list) })
	})
}

// observe tells membership which routers the store's rows name.
func (n *Node) updateRouters() {
	n.peers.Do(func(v *peer.View) { v.ObserveRouters(n.Clock(), n.state.routerBoxes()) })
}

// tables are the tables that routers follow.
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
	return feed.NewFollower(n.board, n.Store, name, feed.DefaultPace, n.roles, n.Logger, seed)
}
