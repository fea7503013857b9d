package sched

import (
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

// Walk walks schedules: as many as SCHEDULES says, or a hundred.
func Walk(t *testing.T, walk func(*rapid.T)) {
	times := 1
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		times = max(n/perCheck, 1)
	}
	walked := 0
	rapid.Check(t, func(r *rapid.T) {
		for range times {
			walked++
			walk(r)
		}
	})
	t.Logf("walked %d schedules", walked)
}
