package decay

import (
	"math"
	"time"
)

// Factor returns the decay factor for the given elapsed time and half-life. The factor is 1 if the
// elapsed time is negative, as after a clock was set back.
func Factor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}
