package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"valescale/internal/rule/match"
)

// Requests that wait for the maximum time must mostly still meet their objective. When engines are
// full for seconds, many requests get a slot only at the end of their wait. Times to the first
// byte then vary between 60 and 340 ms (12 of 12 slots in use), and a wait that leaves only the
// mean time for the answer makes half of these requests late.
func TestMaximumWaitLeavesTimeForAnswer(t *testing.T) {
	const objective = 400 * time.Millisecond
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, seed))
		sample := func() time.Duration {
			return 60*time.Millisecond + time.Duration(rng.Int64N(int64(280*time.Millisecond)))
		}
		e := newLatencyEstimates()
		j := &job{route: &match.Route{Objective: objective}, arrived: time.Unix(1000, 0), deadline: time.Unix(1010, 0)}
		late, total := 0, 0
		for n := range 2000 {
			took := sample()
			if n > 50 {
				total++
				if j.wait(e.firstByteTime("r"))+took > objective {
					late++
				}
			}
			e.add("r", took)
		}
		if ratio := float64(late) / float64(total); ratio > 0.3 {
			t.Errorf("seed %d: %.2f of the requests that wait for the maximum time are late, want at most 0.3", seed, ratio)
		}
	}
}
