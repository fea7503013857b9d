package place

import (
	"cmp"
	"math"

	"valescale/internal/plat/ident"
)

// Capacities is the number of cores of each router's box. A missing router counts as the smallest
// of the others. If none is known, all are equal.
type Capacities map[ident.Router]ident.Cores

// of returns a router's capacity, given the smallest one.
func (c Capacities) of(router ident.Router, minCores ident.Cores) float64 {
	if cores := c[router]; cores > 0 {
		return float64(cores)
	}
	return float64(minCores)
}

// minCores returns the smallest known capacity, or one if none is known.
func (c Capacities) minCores() ident.Cores {
	minCores := ident.Cores(0)
	for _, cores := range c {
		if cores > 0 && (minCores == 0 || cores < minCores) {
			minCores = cores
		}
	}
	return cmp.Or(minCores, 1)
}

// capacityExponent is the power of a box's capacity that weights its choice as a home. A home of
// 22 engines needs about 0.15 cores at 300 permits per second: nearly all of a box of 0.19 cores,
// which then responds late, and a fifth of one of 0.8. With the third power, 8 boxes of 0.8 cores
// get nine in ten of the shards beside 54 of 0.19.
const capacityExponent = 3

// WeightedScore returns the score of a box for a task, given a hash of both, by rendezvous hashing
// weighted by capacity. The box with the highest score gets the task.
func WeightedScore(hash uint64, capacity float64) float64 { return weighted(hash, weight(capacity)) }

// weight returns the weight of a box with the given capacity.
func weight(capacity float64) float64 { return math.Pow(capacity, capacityExponent) }

// weighted returns the score of a box with the given weight, given a hash of box and task.
func weighted(hash uint64, weight float64) float64 {
	uniform := (float64(hash) + 1) / math.MaxUint64
	return weight / -math.Log(min(uniform, maxUniform))
}

// maxUniform prevents an infinite score for the highest hash.
const maxUniform = 1 - 1e-15
