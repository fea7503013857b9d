package place

import (
	"cmp"
	"math"

	"valescale/internal/plat/ident"
)

// Capacities are how much work the boxes of routers can carry. A router that is missing
// counts as the smallest of the others; with none, all count alike.
type Capacities map[ident.Router]ident.Cores

// of returns a router's capacity, given the least of all.
func (c Capacities) of(router ident.Router, minCores ident.Cores) float64 {
	if cores := c[router]; cores > 0 {
		return float64(cores)
	}
	return float64(minCores)
}

// least is the smallest capacity that is known, one without any.
func (c Capacities) minCores() ident.Cores {
	minCores := ident.Cores(0)
	for _, cores := range c {
		if cores > 0 && (minCores == 0 || cores < minCores) {
			minCores = cores
		}
	}
	return cmp.Or(minCores, 1)
}

// steepness is the power of a box's capacity by which it is preferred as a home. A home
// of 22 engines needs about 0.15 cores at 300 permits a second: all of a box of 0.19
// cores, which answers late from then on, and a fifth of one of 0.8. With the third
// power 8 boxes of 0.8 cores get nine in ten of the shards beside 54 of 0.19.
const capacityExponent = 3

// Preference is how much a box is preferred for a task, given a hash of both: rendezvous
// hashing by the box's capacity. The highest has the task.
func Preference(hash uint64, capacity float64) float64 { return weighted(hash, weight(capacity)) }

// pull is how strongly a box of some capacity is preferred.
func weight(capacity float64) float64 { return math.Pow(capacity, capacityExponent) }

// drawn is the score of a box with some pull, given a hash of box and task.
func weighted(hash uint64, weight float64) float64 {
	uniform := (float64(hash) + 1) / math.MaxUint64
	return weight / -math.Log(min(uniform, maxUniform))
}

// almostOne keeps the highest hash from an infinite score.
const maxUniform = 1 - 1e-15
