package table

import (
	"cmp"

	"valescale/internal/plat/ident"
)

// Era is the number of times that the service has been restored from an older snapshot. Each restore
// loses the writes acknowledged since that snapshot, and their versions are assigned again.
type Era uint64

// Position is a position in the service's history. Versions alone are ordered only within one era.
type Position struct {
	Era     Era
	Version Version
}

// Compare returns a negative number if p is before other, zero if they are equal, and a positive
// number otherwise. All positions of an era are before those of the next.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// versionBits is the number of bits for versions in a fencing token, enough for 10^12 (a trillion)
// versions of one row in one era.
const versionBits = 40

// Fence returns a fencing token that increases with the position, so that a version that is assigned
// again in a later era has a higher token than the same version of the earlier era.
func (p Position) Fence() ident.Epoch {
	return ident.Epoch(p.Era)<<versionBits | ident.Epoch(p.Version)
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }
