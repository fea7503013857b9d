package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/peer"
)

// routerTable holds a row for each router.
const routerTable table.Name = "routers"

// routerRow is the value of a router's row.
type routerRow struct {
	Addr        string            `json:"addr"`
	Zone        ident.Zone        `json:"zone"`
	Region      ident.Region      `json:"region"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

func encodeRouter(m peer.Member) table.Put {
	value, err := json.Marshal(routerRow{Addr: m.Addr, Zone: m.Zone, Region: m.Region, Incarnation: m.Incarnation})
	if err != nil {
		// Strings and a number can always be encoded.
		panic(err)
	}
	return table.Put{Table: routerTable, Key: table.Key(m.ID), Value: value}
}

func decodeRouter(row table.Row) (peer.Member, error) {
	var r routerRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return peer.Member{}, fault.New("node.decodeRouter", table.Refused, err)
	}
	return peer.Member{ID: ident.Router(row.Key), Addr: r.Addr, Zone: r.Zone, Region: r.Region, Incarnation: r.Incarnation}, nil
}

// followTables connects the copies of the store's tables with what is made of them.
func (n *Node) followTables() {
	observe := func() {
		list := n.state.boxes()
		n.peers.Do(func(v *peer.View) { v.ObserveList(n.Clock(), list) })
	}
	n.board.Follow(n.Rows.ConfigTable(), func(rows []table.Row) {
		n.state.setConfig(rows)
		n.mesh.MarkDirty()
	})
	n.board.Follow(n.Rows.TargetTable(), func(rows []table.Row) {
		n.state.setTargets(rows)
		observe()
		n.mesh.MarkDirty()
	})
	n.board.Follow(routerTable, func(rows []table.Row) {
		n.state.setRouters(rows)
		observe()
	})
}

// follower returns the follower of one table.
func (n *Node) follower(name table.Name) *feed.Follower {
	seed := uint64(n.self.ID.Hash())
	return feed.NewFollower(n.board, n.Store, name, feed.DefaultPace, n.Logger, seed)
}

// announcePause is the pause between two tries to write this router's row.
const announcePause = 500 * time.Millisecond

// announce writes this router's row until the store has taken it.
func (n *Node) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.Store.Commit(ctx, table.Txn{Puts: []table.Put{encodeRouter(n.self)}})
		if err == nil {
			return
		}
		_ = level.Warn(n.Logger).Log("msg", "could not announce this router", "err", err)
		sleep(ctx, announcePause)
	}
}

// withdraw removes this router's row.
func (n *Node) withdraw(ctx context.Context) {
	put := table.Put{Table: routerTable, Key: table.Key(n.self.ID), Delete: true}
	if err := n.Store.Commit(ctx, table.Txn{Puts: []table.Put{put}}); err != nil {
		_ = level.Warn(n.Logger).Log("msg", "could not remove this router's row", "err", err)
	}
}
