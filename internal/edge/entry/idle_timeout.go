package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// errSilent ends an attempt at a target that has been silent for too long, errHeldUp one at which
// this router was held up itself and cannot tell.
var (
	errTargetSilent  = errors.New("the target is silent")
	errRouterDelayed = errors.New("this router was held up")
)

// patience ends an attempt when its target is silent for too long while another
// target could still do the work, and tells of the silence when none could.
type idleTimeout struct {
	cancel context.CancelCauseFunc
	// timer ends the attempt; nil waits for ever.
	timeout *time.Timer
	// watch tells of a silence, silence is how long that is, since when it began.
	reporter     *time.Timer
	suspectAfter time.Duration
	idle         atomic.Pointer[idle]
	clock        ident.Clock
}

// wait is since when nothing has come, and how long that may last.
type idle struct {
	since time.Time
	limit time.Duration
}

// newPatience returns a context that ends after a limit without a byte; zero waits for
// ever. After a silence, tell is called with its beginning.
func newIdleTimeout(ctx context.Context, clock ident.Clock, limit, suspectAfter time.Duration, report func(since time.Time)) (context.Context, *idleTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimeout{cancel: cancel, clock: clock, suspectAfter: suspectAfter}
	t.set(limit)
	if limit > 0 {
		t.timeout = time.AfterFunc(limit, func() { cancel(t.cause()) })
	}
	if suspectAfter > 0 {
		t.reporter = time.AfterFunc(suspectAfter, func() { report(t.idle.Load().since) })
	}
	return ctx, t
}

// begin notes the beginning of a silence and its limit.
func (t *idleTimeout) set(limit time.Duration) { t.idle.Store(&idle{since: t.clock(), limit: limit}) }

// ended is why an attempt ends at its limit. A router short of processor time that notices it late
// may have the answer waiting unread.
func (t *idleTimeout) cause() error {
	period := t.idle.Load()
	if t.clock().Sub(period.since)-period.limit > relay.HeldUpAfter {
		return errRouterDelayed
	}
	return errTargetSilent
}

// heard starts the silence anew, with a limit if there was one; zero lifts it.
func (t *idleTimeout) reset(limit time.Duration) {
	t.set(limit)
	switch {
	case t.timeout == nil:
	case limit > 0:
		t.timeout.Reset(limit)
	default:
		t.timeout.Stop()
	}
	if t.reporter != nil {
		t.reporter.Reset(t.suspectAfter)
	}
}

// stop frees the timers and the context.
func (t *idleTimeout) stop() {
	if t.timeout != nil {
		t.timeout.Stop()
	}
	if t.reporter != nil {
		t.reporter.Stop()
	}
	t.cancel(nil)
}

const (
	// firstPatience is how many times its objective an answer's first byte may take
	// before another target is tried. Later than that it earns little even if it comes.
	idleTimeoutRatio = 1.5
	// gapPatience is that factor for the pause between events of a stream. Callers give
	// a stream up after eight times the pause.
	eventTimeoutRatio = 3
)

// silence is after how long without a byte a target is suspected: within its objective
// a sound one has answered somebody.
func (j *job) suspectAfter() time.Duration { return j.route.Objective }

// patience is how long the next attempt may be silent before another is made.
func (j *job) idleTimeout() time.Duration {
	if j.route.Repeat != retry.Safe || j.runs+1 >= j.route.Attempts {
		return 0
	}
	return time.Duration(idleTimeoutRatio * float64(j.route.Objective))
}

// gap is how long a stream may pause before it goes on at another target.
func (j *job) eventTimeout() time.Duration { return eventTimeoutRatio * j.route.GapObjective }
