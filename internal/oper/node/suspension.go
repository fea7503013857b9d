package node

import (
	"sync"
	"time"

	"valescale/internal/plat/ident"
)

const (
	// runInterval is the interval at which the process records that it runs.
	runInterval = 100 * time.Millisecond
	// minSuspension is the time without a record from which the process counts as suspended. Targets may have
	// been replaced meanwhile: they take about a second to start.
	minSuspension = 500 * time.Millisecond
)

// suspension detects that this process was suspended: what it received before may be outdated, although its
// timers have not expired yet.
type suspension struct {
	clock ident.Clock

	mu sync.Mutex
	// ranAt is when the process last recorded that it runs, wokeAt the end of the last suspension, or zero.
	ranAt  time.Time
	wokeAt time.Time
}

func newSuspension(clock ident.Clock) *suspension { return &suspension{clock: clock, ranAt: clock()} }

// recordRun records that the process runs.
func (s *suspension) recordRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRunLocked(s.clock())
}

func (s *suspension) recordRunLocked(now time.Time) {
	if ident.Elapsed(s.ranAt, now) >= minSuspension {
		s.wokeAt = now
	}
	s.ranAt = now
}

// wake returns when the last suspension ended, or zero.
func (s *suspension) wake() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRunLocked(s.clock())
	return s.wokeAt
}

// coversAge reports whether something that was confirmed the given time ago was confirmed after the last
// suspension.
func (s *suspension) coversAge(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.recordRunLocked(now)
	return s.wokeAt.IsZero() || age <= ident.Elapsed(s.wokeAt, now)
}
