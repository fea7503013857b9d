package sched

import (
	"cmp"
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// perCheck is how many schedules one check of the library stands for by default.
const perCheck = 100

// Main runs a package's tests with the same schedules every time, unless a seed is asked for.
func Main(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// wanted is how many schedules SCHEDULES asks for, zero if it says nothing.
func wanted() int {
	// What is no number asks for nothing.
	n, _ := strconv.Atoi(os.Getenv("SCHEDULES"))
	return n
}

// Seeds is how many seeds of a model to play: as many as SCHEDULES says, or the usual number.
func Seeds(usual int) uint64 { return uint64(cmp.Or(wanted(), usual)) }

// Walk walks schedules: as many as SCHEDULES says, or a hundred.
func Walk(t *testing.T, walk func(*rapid.T)) {
	times := max(wanted()/perCheck, 1)
	walked := 0
	rapid.Check(t, func(r *rapid.T) {
		for range times {
			walked++
			walk(r)
		}
	})
	t.Logf("walked %d schedules", walked)
}
