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

// errTargetSilent ends an attempt whose target has sent nothing for too long. errRouterDelayed
// ends one at which this router itself was delayed, so that the silence gives no evidence about
// the target.
var (
	errTargetSilent  = errors.New("target sent no data within the idle timeout")
	errRouterDelayed = errors.New("router delayed; idle timeout is inconclusive")
)

// idleTimeout cancels an attempt whose target sends nothing for too long while the request may
// still be retried. It also reports a silent target, even if no retry is possible.
type idleTimeout struct {
	cancel context.CancelCauseFunc
	// cancelTimer cancels the attempt; nil means no limit.
	cancelTimer *time.Timer
	// suspectTimer reports the target after suspectAfter without a byte. idle is the current period
	// without a byte.
	suspectTimer *time.Timer
	suspectAfter time.Duration
	idle         atomic.Pointer[idle]
	clock        ident.Clock
}

// idle is a period without a byte from the target, with its start and maximum duration.
type idle struct {
	since time.Time
	limit time.Duration
}

// newIdleTimeout returns a context that is cancelled after the limit without a byte; zero means no
// limit. After suspectAfter without a byte, report is called with the start of the period.
func newIdleTimeout(ctx context.Context, clock ident.Clock, limit, suspectAfter time.Duration, report func(since time.Time)) (context.Context, *idleTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimeout{cancel: cancel, clock: clock, suspectAfter: suspectAfter}
	t.set(limit)
	if limit > 0 {
		t.cancelTimer = time.AfterFunc(limit, func() { cancel(t.cause()) })
	}
	if suspectAfter > 0 {
		t.suspectTimer = time.AfterFunc(suspectAfter, func() { report(t.idle.Load().since) })
	}
	return ctx, t
}

// set starts a new idle period with a limit.
func (t *idleTimeout) set(limit time.Duration) { t.idle.Store(&idle{since: t.clock(), limit: limit}) }

// cause returns the cause of the cancellation at the limit. A router short of CPU time that runs
// the timer late may have the answer in its receive buffer.
func (t *idleTimeout) cause() error {
	period := t.idle.Load()
	if t.clock().Sub(period.since)-period.limit > relay.LocalDelayThreshold {
		return errRouterDelayed
	}
	return errTargetSilent
}

// reset starts a new idle period. A limit replaces an existing limit; zero removes it.
func (t *idleTimeout) reset(limit time.Duration) {
	t.set(limit)
	switch {
	case t.cancelTimer == nil:
	case limit > 0:
		t.cancelTimer.Reset(limit)
	default:
		t.cancelTimer.Stop()
	}
	if t.suspectTimer != nil {
		t.suspectTimer.Reset(t.suspectAfter)
	}
}

// restart starts a new idle period with the same limit.
func (t *idleTimeout) restart() { t.reset(t.idle.Load().limit) }

// disarm ends both limits for the rest of the attempt.
func (t *idleTimeout) disarm() {
	if t.cancelTimer != nil {
		t.cancelTimer.Stop()
	}
	if t.suspectTimer != nil {
		t.suspectTimer.Stop()
	}
}

// stop releases the timers and the context.
func (t *idleTimeout) stop() {
	t.disarm()
	t.cancel(nil)
}

const (
	// idleTimeoutRatio is the ratio between the idle timeout of an attempt and the objective. A
	// first byte that arrives later has little value.
	idleTimeoutRatio = 1.5
	// eventTimeoutRatio is the ratio between the timeout for the next event of a stream and the
	// gap objective. Callers abandon a stream after eight times the gap objective.
	eventTimeoutRatio = 3
)

// suspectAfter returns the time without a byte after which a target is suspected. A healthy target
// answers at least one request within the objective.
func (j *job) suspectAfter() time.Duration { return j.route.Objective }

// idleTimeout returns the time without a byte after which the attempt is cancelled in favor of
// another one; zero means no limit.
func (j *job) idleTimeout() time.Duration {
	if j.route.Repeat != retry.Safe || j.runs+1 >= j.route.Attempts {
		return 0
	}
	return time.Duration(idleTimeoutRatio * float64(j.route.Objective))
}

// eventTimeout returns the maximum pause between two events before the stream is resumed at
// another target.
func (j *job) eventTimeout() time.Duration { return eventTimeoutRatio * j.route.GapObjective }
