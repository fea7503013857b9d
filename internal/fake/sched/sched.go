package sched

import (
	"cmp"
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// schedulesPerCheck is the number of iterations that rapid.Check runs by default.
const schedulesPerCheck = 100

// Main runs a package's tests. The schedules are the same in every run unless the flag rapid.seed
// sets a seed.
func Main(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// schedulesFromEnv returns the number of schedules that SCHEDULES states, or zero if it is unset or
// not a number.
func schedulesFromEnv() int {
	n, _ := strconv.Atoi(os.Getenv("SCHEDULES"))
	return n
}

// Seeds returns the number of seeds to run a model with: the value of SCHEDULES, or defaultCount if
// it is unset.
func Seeds(defaultCount int) uint64 { return uint64(cmp.Or(schedulesFromEnv(), defaultCount)) }

// Walk runs a test with as many schedules as SCHEDULES states, in whole hundreds, and at least a
// hundred.
func Walk(t *testing.T, run func(*rapid.T)) {
	perIteration := max(schedulesFromEnv()/schedulesPerCheck, 1)
	ran := 0
	rapid.Check(t, func(r *rapid.T) {
		for range perIteration {
			ran++
			run(r)
		}
	})
	t.Logf("ran %d schedules", ran)
}
