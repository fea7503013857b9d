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
const configLostFor = time.Minute

// followTables connects the copies of the store's tables with what is made of them.
func (n *Node) followTables() {
	n.followRouters()
	revision := func(row table.Row) uint64 { return uint64(n.Rows.Revision(row)) }
	n.board.Follow(n.Rows.ConfigTable(), feed.Rules{Rank: revision, LostFor: configLostFor, Anew: true}, func(change feed.Change) {
		rows := change.All()
		n.state.setConfig(rows)
		n.state.setClosed(rows)
		if n.trials.setOrders(n.Rows.Orders(rows)) {
			n.regroup()
		}
		n.peers.Do(func(v *peer.View) { v.RaiseHead(n.state.revision()) })
		n.mesh.MarkDirty()
	})
	n.board.Follow(n.Rows.TargetTable(), feed.Rules{LostFor: feed.LapseGrace}, func(change feed.Change) {
		news, restarted := n.state.setTargets(change)
		for _, addr := range restarted {
			n.conns.Forget(addr)
		}
		n.observeTargets(news)
		n.mesh.MarkDirty()
	})
	if n.trials.follows() {
		n.followStatuses()
	}
}

// followStatuses follows what became of orders to move services to other versions.
func (n *Node) followStatuses() {
	n.board.Follow(n.Rows.StatusTable(), feed.Rules{LostFor: configLostFor}, func(change feed.Change) {
		statuses := map[ident.Service]written{}
		for _, row := range change.Rows {
			if s, found := n.Rows.Status(row); found {
				statuses[s.Service] = written{Status: s, version: row.Version}
			}
		}
		if n.trials.setStatuses(statuses) {
			n.regroup()
		}
	})
}

// observeTargets tells membership what is new of targets.
func (n *Node) observeTargets(news peer.TargetNews) {
	n.peers.Do(func(v *peer.View) { v.ObserveTargets(n.Clock(), news) })
}

// followRouters has membership learn of routers from their rows as they are written. All that start together know each
// other so within a moment, from one reading a zone; who lives and who does not they tell each other.
func (n *Node) followRouters() {
	n.board.Follow(routerTable, feed.Rules{LostFor: configLostFor}, func(change feed.Change) {
		list := n.state.decodeRouters(change.Rows)
		n.peers.Do(func(v *peer.View) { v.ObserveRouters(n.Clock(), list) })
	})
}

// observe tells membership which routers the store's rows name.
func (n *Node) observe() {
	n.peers.Do(func(v *peer.View) { v.ObserveRouters(n.Clock(), n.state.known()) })
}

// tables are the tables that routers follow.
func (n *Node) tables() []table.Name {
	names := []table.Name{n.Rows.ConfigTable(), n.Rows.TargetTable(), routerTable}
	if n.trials.follows() {
		names = append(names, n.Rows.StatusTable())
	}
	return names
}

// follower returns the follower of one table.
func (n *Node) follower(name table.Name) *feed.Follower {
	seed := uint64(n.self.ID.Hash())
	return feed.NewFollower(n.board, n.Store, name, feed.DefaultPace, n.roles, n.Logger, seed)
}
