package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
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
	Cores       ident.Cores       `json:"cores"`
}

// encodeRouter is the writing of a router's row.
func encodeRouter(m peer.Member) table.Put {
	value, err := json.Marshal(routerRow{Addr: m.Addr, Zone: m.Zone, Region: m.Region, Incarnation: m.Incarnation, Cores: m.Cores})
	if err != nil {
		// Strings and a number can always be encoded.
		panic(err)
	}
	return table.Put{Table: routerTable, Key: table.Key(m.ID), Value: value}
}

// decodeRouter reads a router's row.
func decodeRouter(row table.Row) (peer.Member, error) {
	var r routerRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return peer.Member{}, fault.New("node.decodeRouter", BadRow, err)
	}
	return peer.Member{
		ID: ident.Router(row.Key), Addr: r.Addr, Zone: r.Zone, Region: r.Region, Incarnation: r.Incarnation, Cores: r.Cores,
	}, nil
}

const (
	// announceSpread is within how long a try to write this router's row that failed is made again, at some moment of
	// it: the rows of a table share some hundred writes a second, and a thousand routers that start together write
	// theirs at once.
	maxAnnounceRetryDelay = 4 * time.Second
	// listPause is the pause between two readings of the routers' rows while this router
	// knows no other.
	aloneListInterval = time.Second
	// listEvery is that pause later on: gossip tells the rest.
	listInterval = 15 * time.Second
	// listTimeout bounds the reading of the routers' rows.
	listTimeout = time.Second
)

// announce writes this router's row until the store has taken it, then reads the
// others' now and then.
func (n *Node) announce(ctx context.Context) {
	n.writeOwnRow(ctx)
	n.discoverPeers(ctx)
	for ctx.Err() == nil {
		if n.isStoreReader() {
			n.readRouters(ctx)
		}
		wait := listInterval
		if n.hasNoPeers() {
			wait = aloneListInterval
		}
		n.waitForRestore(ctx, wait)
	}
}

// awaitRestored waits until the store was seen to have come back from an older copy, for at most a while, and
// then has the guard write again what that may lack.
func (n *Node) waitForRestore(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.storeRestored:
		n.guard.Rewrite()
	}
}

// writeRow writes this router's row until the store has taken it.
func (n *Node) writeOwnRow(ctx context.Context) {
	rng := rand.New(rand.NewPCG(n.self.Seed(), announceSalt))
	for ctx.Err() == nil {
		err := n.Store.Commit(ctx, table.Txn{Puts: []table.Put{encodeRouter(n.self)}})
		if err == nil {
			return
		}
		_ = level.Warn(n.Logger).Log("msg", "could not announce this router", "err", err)
		pause.For(ctx, announceRetryDelay(rng))
	}
}

// announceSalt keeps the moments of writing apart from other random choices.
const announceSalt = 0xa4404ce

// announceAgain is how long to wait after a try that failed.
func announceRetryDelay(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(maxAnnounceRetryDelay)))
}

// listRouters reads the routers' rows.
func (n *Node) readRouters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := n.Store.All(ctx, routerTable)
	if err != nil {
		_ = level.Warn(n.Logger).Log("msg", "routers cannot be read", "err", err)
		return
	}
	n.state.setRouters(page.Rows)
	n.updateRouters()
	n.peers.Tell(ctx)
	n.rewriteMissing(ctx, page.Rows)
	n.removeDead(ctx, page.Rows)
}

// maxRouterPuts bounds the routers' rows of one transaction, which may hold a hundred checks and writes.
const maxRouterPutsPerTxn = 50

// writeMissing writes again the rows of this zone's live routers that the store has lost. One router a zone does
// so: 300 that hear of it at once would take up most of the writes that the store bears in a second.
func (n *Node) rewriteMissing(ctx context.Context, rows []table.Row) {
	for missingRouters := range slices.Chunk(n.missingRouters(rows), maxRouterPutsPerTxn) {
		var txn table.Txn
		for _, m := range missingRouters {
			txn.Checks = append(txn.Checks, table.Check{Table: routerTable, Key: table.Key(m.ID)})
			txn.Puts = append(txn.Puts, encodeRouter(m))
		}
		err := n.Store.Commit(ctx, txn)
		_ = level.Info(n.Logger).Log("msg", "rows of live routers written again", "routers", len(missingRouters), "err", err)
	}
}

// missing lists this zone's live routers that have no row.
func (n *Node) missingRouters(rows []table.Row) []peer.Member {
	var out []peer.Member
	n.peers.Read(func(v *peer.View) {
		for _, m := range v.Members() {
			if m.Zone == n.self.Zone && m.State == peer.Live && !v.Doubtful(n.Clock(), m.ID) {
				out = append(out, m)
			}
		}
	})
	return slices.DeleteFunc(out, func(m peer.Member) bool {
		return slices.ContainsFunc(rows, func(row table.Row) bool { return row.Key == table.Key(m.ID) })
	})
}

// deadLists is how many readings of the routers' rows in a row, 15 s apart, must find a
// router dead before its row goes. The row also keeps the router's next process from taking
// a lower incarnation, should the box's clock be set back by less than that.
const minDeadReadings = 4

// removeGone removes the rows of routers that have been dead for a while, unless they have
// been written anew meanwhile: each start would take them for live.
func (n *Node) removeDead(ctx context.Context, rows []table.Row) {
	for _, row := range n.longDead(rows) {
		txn := table.Txn{
			Checks: []table.Check{{Table: row.Table, Key: row.Key, Version: row.Version}},
			Puts:   []table.Put{{Table: row.Table, Key: row.Key, Delete: true}},
		}
		err := n.Store.Commit(ctx, txn)
		_ = level.Info(n.Logger).Log("msg", "row of a dead router removed", "router_gone", row.Key, "era", row.Era, "version", row.Version, "err", err)
	}
}

// lasting returns the rows of this zone's routers that were dead at enough readings in a row.
func (n *Node) longDead(rows []table.Row) []table.Row {
	var out []table.Row
	deadReadings := map[table.Key]int{}
	for _, row := range rows {
		if !n.deadInZone(ident.Router(row.Key)) {
			continue
		}
		deadReadings[row.Key] = n.deadReadings[row.Key] + 1
		if deadReadings[row.Key] >= minDeadReadings {
			out = append(out, row)
		}
	}
	n.deadReadings = deadReadings
	return out
}

// deadHere reports whether a router of this router's availability zone is dead.
func (n *Node) deadInZone(id ident.Router) bool {
	var member peer.Member
	n.peers.Read(func(v *peer.View) { member, _ = v.Member(id) })
	return member.State == peer.Dead && member.Zone == n.self.Zone
}

// alone reports whether this router knows no other.
func (n *Node) hasNoPeers() bool {
	peerCount := 0
	n.peers.Read(func(v *peer.View) { peerCount = len(v.Peers()) })
	return peerCount == 0
}

// withdraw removes this router's row.
func (n *Node) removeOwnRow(ctx context.Context) {
	put := table.Put{Table: routerTable, Key: table.Key(n.self.ID), Delete: true}
	if err := n.Store.Commit(ctx, table.Txn{Puts: []table.Put{put}}); err != nil {
		_ = level.Warn(n.Logger).Log("msg", "could not remove this router's row", "err", err)
	}
}
