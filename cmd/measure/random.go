package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// interarrivalTime returns a random time between two arrivals of a Poisson process with a rate per
// second.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// serviceTimeSigma is the standard deviation of the logarithm of service times. It gives a long tail
// without extreme values.
const serviceTimeSigma = 0.8

// serviceTime returns a random lognormal service time with the given mean.
func serviceTime(rng *rand.Rand, mean time.Duration) time.Duration {
	const sigma = serviceTimeSigma
	return time.Duration(math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2) * float64(mean))
}

// percentile returns the value at a percentile of sorted values.
func percentile(sorted []float64, percent int) float64 { return sorted[len(sorted)*percent/100] }
