package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// errTargetSilent ends an attempt whose target has sent nothing for too long.
var errTargetSilent = errors.New("target sent no data within the idle timeout")

// idleTimeout gives up an attempt whose target sends nothing for too long, once the next attempt has an answer or has
// waited for one as long as both may run: until then, the silent target is the best that the request has. It also reports a
// silent target, even if no other attempt may follow.
type idleTimeout struct {
	idleParts
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// period is the current idle period.
	period idlePeriod
	// seekAt is when the next attempt is to be sought.
	seekAt time.Time
	// seekTimer seeks the next attempt at the limit; nil means no limit.
	seekTimer *time.Timer
	// suspectTimer reports the target after suspectAfter without a byte.
	suspectTimer *time.Timer
	// seeking is set while the next attempt is sought.
	seeking bool
	// stopped is set when neither limit applies any more.
	stopped bool
	// found delivers the next attempt to the goroutine that serves the request.
	found chan foundAttempt
}

// foundAttempt is the next attempt that was found in an idle period.
type foundAttempt struct {
	*certainAttempt
	period idlePeriod
}

// idleParts contains the parameters of an idleTimeout.
type idleParts struct {
	clock ident.Clock
	// limit is the first limit; zero means none for the whole attempt.
	limit time.Duration
	// successor seeks the next attempt, and begin begins it. It reports whether the current one is to be given up for it,
	// and returns early if spoke is closed, since the silent target has brought its answer further. Both are not used without
	// a limit.
	successor attemptSeeker
	begin     func(next *certainAttempt, spoke <-chan struct{}) bool
	// report is called with the start of the period after suspectAfter without a byte; zero means never.
	suspectAfter time.Duration
	report       func(since time.Time)
}

// attemptSeeker finds out whether another attempt may follow a silent one.
type attemptSeeker interface {
	// seek returns the next attempt, or nil if none is certain.
	seek(ctx context.Context, silence time.Duration) *certainAttempt
	// commit takes what the next attempt costs, and reports whether it may begin.
	commit() bool
}

// idlePeriod is a period without a byte from the target, with its start and maximum duration.
type idlePeriod struct {
	number uint64
	since  time.Time
	limit  time.Duration
}

// seekInterval is the interval at which the next attempt is sought while a target stays silent: a small part of any
// deadline, and enough for targets to become free.
const seekInterval = 250 * time.Millisecond

// newIdleTimeout returns a context that is cancelled when the attempt is given up.
func newIdleTimeout(ctx context.Context, parts idleParts) (context.Context, *idleTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimeout{idleParts: parts, ctx: ctx, cancel: cancel, found: make(chan foundAttempt, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginPeriod(parts.limit)
	if parts.limit > 0 {
		t.seekTimer = time.AfterFunc(parts.limit, t.expire)
	}
	if parts.suspectAfter > 0 {
		t.suspectTimer = time.AfterFunc(parts.suspectAfter, t.suspect)
	}
	return ctx, t
}

// beginPeriod starts a new idle period. The caller holds the lock.
func (t *idleTimeout) beginPeriod(limit time.Duration) {
	t.period = idlePeriod{number: t.period.number + 1, since: t.clock(), limit: limit}
	t.seekAt = t.period.since.Add(limit)
}

// suspect reports the target.
func (t *idleTimeout) suspect() {
	t.mu.Lock()
	since, stopped := t.period.since, t.stopped
	t.mu.Unlock()
	if !stopped {
		t.report(since)
	}
}

// expire seeks the next attempt at the end of an idle period.
func (t *idleTimeout) expire() {
	if period, silence := t.beginSearch(); silence > 0 {
		t.offer(period, t.successor.seek(t.ctx, silence))
	}
}

// beginSearch returns the current period and how long it has lasted, or zero if the next attempt is not to be sought now.
func (t *idleTimeout) beginSearch() (period idlePeriod, silence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	switch {
	case t.stopped || t.period.limit == 0:
		return t.period, 0
	case t.seeking:
		t.seekAgain()
		return t.period, 0
	case now.Sub(t.seekAt) > relay.LocalDelayThreshold:
		// A router short of CPU time that runs the timer late may have the answer in its receive buffer.
		t.beginPeriod(t.period.limit)
		t.seekTimer.Reset(t.period.limit)
		return t.period, 0
	}
	t.seeking = true
	return t.period, now.Sub(t.period.since)
}

// seekAgain repeats the search after seekInterval. The caller holds the lock.
func (t *idleTimeout) seekAgain() {
	t.seekAt = t.clock().Add(seekInterval)
	t.seekTimer.Reset(seekInterval)
}

// goesOn reports whether a period has not ended. The caller holds the lock.
func (t *idleTimeout) goesOn(period idlePeriod) bool {
	return !t.stopped && t.period.number == period.number
}

// offer delivers the next attempt, unless a byte has arrived meanwhile. Without a next attempt, it is sought again later.
func (t *idleTimeout) offer(period idlePeriod, next *certainAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeking = false
	switch {
	case !t.goesOn(period):
		next.release()
	case next == nil:
		t.seekAgain()
	default:
		t.found <- foundAttempt{next, period}
	}
}

// dropFound releases a next attempt that was not begun. The caller holds the lock.
func (t *idleTimeout) dropFound() {
	select {
	case next := <-t.found:
		next.release()
	default:
	}
}

// mayFollow reports whether another attempt may begin while the current one waits for its target.
func (t *idleTimeout) mayFollow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seekTimer != nil && !t.stopped && t.period.limit > 0
}

// run runs an operation that waits for the target. If the target is silent for too long meanwhile, the next attempt is begun.
// Once the current one is to be given up for that, its context is cancelled and an error returned. The operation returns whether
// the target has brought its answer further, which ends the next attempt.
func (t *idleTimeout) run(operation func() (progressed bool)) error {
	if !t.mayFollow() {
		operation()
		return nil
	}
	done, spoke := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if operation() {
			close(spoke)
		}
	}()
	for {
		select {
		case <-done:
			return nil
		case next := <-t.found:
			if t.follow(next, done, spoke) {
				t.cancel(errTargetSilent)
				<-done
				return errTargetSilent
			}
		}
	}
}

// follow begins the next attempt and reports whether the current one is to be given up for it. Otherwise, another one is
// sought later.
func (t *idleTimeout) follow(next foundAttempt, done, spoke <-chan struct{}) bool {
	if isDone(done) || !t.successor.commit() {
		next.release()
	} else if t.begin(next.certainAttempt, spoke) {
		t.disarm()
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.goesOn(next.period) {
		t.seekAgain()
	}
	return false
}

// reset starts a new idle period. A limit replaces an existing limit; zero removes it.
func (t *idleTimeout) reset(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginPeriod(limit)
	t.dropFound()
	switch {
	case t.seekTimer == nil || t.stopped:
	case limit > 0:
		t.seekTimer.Reset(limit)
	default:
		t.seekTimer.Stop()
	}
	if t.suspectTimer != nil && !t.stopped {
		t.suspectTimer.Reset(t.suspectAfter)
	}
}

// pause stops both limits until the next period begins.
func (t *idleTimeout) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginPeriod(t.period.limit)
	t.dropFound()
	if t.seekTimer != nil {
		t.seekTimer.Stop()
	}
	if t.suspectTimer != nil {
		t.suspectTimer.Stop()
	}
}

// restart starts a new idle period with the same limit.
func (t *idleTimeout) restart() {
	t.mu.Lock()
	limit := t.period.limit
	t.mu.Unlock()
	t.reset(limit)
}

// disarm ends both limits for the rest of the attempt.
func (t *idleTimeout) disarm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.dropFound()
	if t.seekTimer != nil {
		t.seekTimer.Stop()
	}
	if t.suspectTimer != nil {
		t.suspectTimer.Stop()
	}
}

// isDone reports whether an operation has closed its channel.
func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// stop releases the timers, the context, and a next attempt that was not begun.
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

// idleTimeout returns the time without a byte after which another attempt is sought in place of the
// current one; zero means no limit.
func (j *job) idleTimeout() time.Duration {
	return j.idleTimeoutAfter(j.runs + 1)
}

// idleTimeoutAfter returns the idle timeout of an attempt by the number of runs of the request, itself included.
func (j *job) idleTimeoutAfter(runs int) time.Duration {
	if j.route.Repeat != retry.Safe || runs >= j.route.Attempts {
		return 0
	}
	return time.Duration(idleTimeoutRatio * float64(j.route.Objective))
}

// eventTimeout returns the maximum pause between two events before another target is sought to resume the
// stream.
func (j *job) eventTimeout() time.Duration { return eventTimeoutRatio * j.route.GapObjective }
