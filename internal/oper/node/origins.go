package node

import (
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
)

// routersVersion returns a number that increases with each change of routers.
func (n *Node) routersVersion() (version uint64) {
	n.peers.Read(func(v *peer.View) { version = v.MemberVersion() })
	return version
}

// versionRole returns this router's role for the table of the services' versions.
func (n *Node) versionRole() origin.Role {
	switch {
	case n.isStoreReader():
		return origin.Writes
	case n.roles.BackupReader():
		return origin.WritesLate
	}
	return origin.OnlyReads
}

// originRouters returns the routers that may keep the origins of streams. Dead ones are left out.
func (n *Node) originRouters() []origin.Router {
	var out []origin.Router
	n.peers.Read(func(v *peer.View) {
		for m := range v.All() {
			if m.State != peer.Dead {
				out = append(out, origin.Router{ID: m.ID, Zone: m.Zone, Region: m.Region, Accepts: m.State == peer.Live})
			}
		}
	})
	return out
}

// takesRoutersForDead reports whether this router takes any other one for dead.
func (n *Node) takesRoutersForDead() (dead bool) {
	n.peers.Read(func(v *peer.View) {
		for m := range v.All() {
			dead = dead || m.State == peer.Dead
		}
	})
	return dead
}
