package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peer"
)

// childrenPerReader is the maximum number of routers that read from the same router. Each sends two
// or three calls per second, so a router serves about fifty at most.
const childrenPerReader = 16

// backupReaders is the number of routers of an availability zone, next to its reader, that poll an
// unavailable store as often as the reader does. With two to six of them a change reaches 50
// routers equally soon after an outage, with none 0.8 s later.
const backupReaders = 4

// membersChanged is called when routers or targets change. Roles depend only on routers.
func (n *Node) membersChanged() {
	n.mesh.RequestUpdate()
	var latest uint64
	n.peers.Read(func(v *peer.View) { latest = v.MemberVersion() })
	if n.roleMemberVersion.Swap(latest) != latest {
		n.assignRole()
	}
}

// assignRole sets this router's position in the tree of its availability zone. The first router in
// an order that all routers agree on reads the store, the other routers read from their parent.
func (n *Node) assignRole() {
	zone := n.zoneOrder(n.self.Zone)
	rank := slices.Index(zone, n.self.ID)
	n.roles.SetBackupReader(rank > 0 && rank <= backupReaders)
	if rank <= 0 {
		n.setRole(true, "")
		return
	}
	n.setRole(false, zone[(rank-1)/childrenPerReader])
}

// setRole sets the role and logs it if it has changed.
func (n *Node) setRole(reader bool, parent ident.Router) {
	if wasReader, oldParent := n.roles.Reader(); wasReader != reader || oldParent != parent {
		_ = level.Info(n.Logger).Log("msg", "source of the store's tables", "store", reader, "router_asked", parent)
	}
	n.roles.Assign(reader, parent)
}

// zoneOrder returns the live routers of a zone in an order specific to that zone, in which large
// boxes tend to come first.
func (n *Node) zoneOrder(zone ident.Zone) []ident.Router {
	var out []ident.Router
	scores := map[ident.Router]float64{}
	n.peers.Read(func(v *peer.View) {
		for _, m := range v.Members() {
			if m.Zone == zone && m.State == peer.Live {
				out = append(out, m.ID)
				scores[m.ID] = place.WeightedScore(ident.Mix(readerSalt, xxhash.Sum64String(string(m.ID))), float64(m.Cores))
			}
		}
	})
	slices.SortFunc(out, func(a, b ident.Router) int { return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b)) })
	return out
}

// readerSalt separates the order of readers from that of homes.
const readerSalt = 0x4ead
