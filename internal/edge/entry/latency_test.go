package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"valescale/internal/rule/match"
)

// Pattern: engines that are full for seconds, where many requests get a slot only as their waiting
// ends. Times to the first byte then lie between 60 and 340 ms, as seen at engines with 12 of 12 slots
// taken; of the requests that wait to the end half were late when as much was left as an answer takes
// on average.
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
			t.Errorf("seed %d: %.2f of the requests that wait to the end are late, want 0.3 at most", seed, ratio)
		}
	}
}
