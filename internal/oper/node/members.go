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

// routerTable contains a row for each router.
const routerTable table.Name = "routers"

type routerRow struct {
	Addr        string            `json:"addr"`
	Zone        ident.Zone        `json:"zone"`
	Region      ident.Region      `json:"region"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Cores       ident.Cores       `json:"cores"`
}

// encodeRouter returns the write of a router's row.
func encodeRouter(m peer.Member) table.Put {
	value, err := json.Marshal(routerRow{Addr: m.Addr, Zone: m.Zone, Region: m.Region, Incarnation: m.Incarnation, Cores: m.Cores})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return table.Put{Table: routerTable, Key: table.Key(m.ID), Value: value}
}

// decodeRouter decodes a router's row.
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
	// maxAnnounceRetryDelay is the maximum delay before a failed write of this router's row is
	// retried. The delay is random: the rows of a table share a few hundred writes per second, and
	// a thousand routers that start together write theirs at once.
	maxAnnounceRetryDelay = 4 * time.Second
	// aloneListInterval is the interval between two reads of the routers' rows while this router
	// has no peers.
	aloneListInterval = time.Second
	// listInterval is that interval once peers are known. Gossip reports other changes.
	listInterval = 15 * time.Second
	// listTimeout is the timeout of a read of the routers' rows.
	listTimeout = time.Second
)

// announce writes this router's row until the store accepts it, then reads the rows of all routers
// periodically.
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

// waitForRestore waits until a store rollback is detected, for the given time at most, and then has
// the guard rewrite rows that the store may lack.
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

// writeOwnRow writes this router's row until the store accepts it.
func (n *Node) writeOwnRow(ctx context.Context) {
	rng := rand.New(rand.NewPCG(n.self.Seed(), announceSalt))
	for ctx.Err() == nil {
		err := n.Store.Commit(ctx, table.Txn{Puts: []table.Put{encodeRouter(n.self)}})
		if err == nil {
			return
		}
		_ = level.Warn(n.Logger).Log("msg", "failed to write this router's row", "err", err)
		pause.Sleep(ctx, announceRetryDelay(rng))
	}
}

// announceSalt separates the random delays of writes from other random choices.
const announceSalt = 0xa4404ce

// announceRetryDelay returns the delay after a failed write.
func announceRetryDelay(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(maxAnnounceRetryDelay)))
}

// readRouters reads the routers' rows and updates the membership view.
func (n *Node) readRouters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := n.Store.All(ctx, routerTable)
	if err != nil {
		_ = level.Warn(n.Logger).Log("msg", "failed to read the routers' rows", "err", err)
		return
	}
	n.state.setRouters(page.Rows)
	n.updateRouters()
	n.peers.GossipNow(ctx)
	n.rewriteMissing(ctx, page.Rows)
	n.removeDead(ctx, page.Rows)
}

// maxRouterPutsPerTxn limits the rows of one transaction, which may contain a hundred checks and
// writes.
const maxRouterPutsPerTxn = 50

// rewriteMissing writes the rows of this zone's live routers that the store has lost. Only one
// router per zone does so: 300 routers that detect the loss at once would use most of the writes
// per second that the store supports.
func (n *Node) rewriteMissing(ctx context.Context, rows []table.Row) {
	for missingRouters := range slices.Chunk(n.missingRouters(rows), maxRouterPutsPerTxn) {
		var txn table.Txn
		for _, m := range missingRouters {
			txn.Checks = append(txn.Checks, table.Check{Table: routerTable, Key: table.Key(m.ID)})
			txn.Puts = append(txn.Puts, encodeRouter(m))
		}
		err := n.Store.Commit(ctx, txn)
		_ = level.Info(n.Logger).Log("msg", "rewriting missing rows of live routers", "routers", len(missingRouters), "err", err)
	}
}

// missingRouters returns this zone's live routers that have no row.
func (n *Node) missingRouters(rows []table.Row) []peer.Member {
	var out []peer.Member
	n.peers.Read(func(v *peer.View) {
		for _, m := range v.Members() {
			if m.Zone == n.self.Zone && m.State == peer.Live && !v.RecentlyListed(n.Clock(), m.ID) {
				out = append(out, m)
			}
		}
	})
	return slices.DeleteFunc(out, func(m peer.Member) bool {
		return slices.ContainsFunc(rows, func(row table.Row) bool { return row.Key == table.Key(m.ID) })
	})
}

// minDeadReadings is the number of consecutive reads of the routers' rows, 15 s apart, that must
// find a router dead before its row is removed. The row also prevents the router's next process
// from using a lower incarnation if the box's clock is set back by less than that.
const minDeadReadings = 4

// removeDead removes the rows of routers that have been dead for minDeadReadings reads, unless they
// have been rewritten since. Otherwise each starting router would assume that those routers are
// live.
func (n *Node) removeDead(ctx context.Context, rows []table.Row) {
	for _, row := range n.expiredRows(rows) {
		txn := table.Txn{
			Checks: []table.Check{{Table: row.Table, Key: row.Key, Version: row.Version}},
			Puts:   []table.Put{{Table: row.Table, Key: row.Key, Delete: true}},
		}
		err := n.Store.Commit(ctx, txn)
		_ = level.Info(n.Logger).Log("msg", "removing row of a dead router", "router_gone", row.Key, "era", row.Era, "version", row.Version, "err", err)
	}
}

// expiredRows returns the rows of this zone's routers that were dead at minDeadReadings consecutive
// reads.
func (n *Node) expiredRows(rows []table.Row) []table.Row {
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

// deadInZone reports whether a router is in this router's availability zone and dead.
func (n *Node) deadInZone(id ident.Router) bool {
	var member peer.Member
	n.peers.Read(func(v *peer.View) { member, _ = v.Member(id) })
	return member.State == peer.Dead && member.Zone == n.self.Zone
}

// hasNoPeers reports whether this router has no peers in its membership view.
func (n *Node) hasNoPeers() bool {
	peerCount := 0
	n.peers.Read(func(v *peer.View) { peerCount = len(v.Peers()) })
	return peerCount == 0
}

// removeOwnRow removes this router's row.
func (n *Node) removeOwnRow(ctx context.Context) {
	put := table.Put{Table: routerTable, Key: table.Key(n.self.ID), Delete: true}
	if err := n.Store.Commit(ctx, table.Txn{Puts: []table.Put{put}}); err != nil {
		_ = level.Warn(n.Logger).Log("msg", "failed to remove this router's row", "err", err)
	}
}
