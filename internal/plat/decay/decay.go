package decay

import (
	"math"
	"time"
)

// Kept is the part of a count that is left after a time, given its half-life. Nothing is lost
// while no time has passed, or a clock was set back.
func Kept(passed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(passed, 0)) / float64(halfLife))
}
