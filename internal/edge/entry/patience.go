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
	errSilent = errors.New("the target is silent")
	errHeldUp = errors.New("this router was held up")
)

// patience ends an attempt when its target is silent for too long while another
// target could still do the work, and tells of the silence when none could.
type patience struct {
	cancel context.CancelCauseFunc
	// timer ends the attempt; nil waits for ever.
	timer *time.Timer
	// watch tells of a silence, silence is how long that is, since when it began.
	watch   *time.Timer
	silence time.Duration
	wait    atomic.Pointer[wait]
	clock   ident.Clock
}

// wait is since when nothing has come, and how long that may last.
type wait struct {
	since time.Time
	limit time.Duration
}

// newPatience returns a context that ends after a limit without a byte; zero waits for
// ever. After a silence, tell is called with its beginning.
func newPatience(ctx context.Context, clock ident.Clock, limit, silence time.Duration, tell func(since time.Time)) (context.Context, *patience) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &patience{cancel: cancel, clock: clock, silence: silence}
	p.begin(limit)
	if limit > 0 {
		p.timer = time.AfterFunc(limit, func() { cancel(p.ended()) })
	}
	if silence > 0 {
		p.watch = time.AfterFunc(silence, func() { tell(p.wait.Load().since) })
	}
	return ctx, p
}

// begin notes the beginning of a silence and its limit.
func (p *patience) begin(limit time.Duration) { p.wait.Store(&wait{since: p.clock(), limit: limit}) }

// ended is why an attempt ends at its limit. A router short of processor time that notices it late
// may have the answer waiting unread.
func (p *patience) ended() error {
	w := p.wait.Load()
	if p.clock().Sub(w.since)-w.limit > relay.HeldUpAfter {
		return errHeldUp
	}
	return errSilent
}

// heard starts the silence anew, with a limit if there was one; zero lifts it.
func (p *patience) heard(limit time.Duration) {
	p.begin(limit)
	switch {
	case p.timer == nil:
	case limit > 0:
		p.timer.Reset(limit)
	default:
		p.timer.Stop()
	}
	if p.watch != nil {
		p.watch.Reset(p.silence)
	}
}

// stop frees the timers and the context.
func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
	if p.watch != nil {
		p.watch.Stop()
	}
	p.cancel(nil)
}

const (
	// firstPatience is how many times its objective an answer's first byte may take
	// before another target is tried. Later than that it earns little even if it comes.
	firstPatience = 1.5
	// gapPatience is that factor for the pause between events of a stream. Callers give
	// a stream up after eight times the pause.
	gapPatience = 3
)

// silence is after how long without a byte a target is suspected: within its objective
// a sound one has answered somebody.
func (j *job) silence() time.Duration { return j.route.Objective }

// patience is how long the next attempt may be silent before another is made.
func (j *job) patience() time.Duration {
	if j.route.Repeat != retry.Safe || j.ran+1 >= j.route.Attempts {
		return 0
	}
	return time.Duration(firstPatience * float64(j.route.Objective))
}

// gap is how long a stream may pause before it goes on at another target.
func (j *job) gap() time.Duration { return gapPatience * j.route.GapObjective }
