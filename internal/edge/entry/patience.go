package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/rule/retry"
)

// errSilent ends an attempt at a target that has been silent for too long.
var errSilent = errors.New("the target is silent")

// patience ends an attempt when its target is silent for too long while another
// target could still do the work.
type patience struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// newPatience returns a context that ends after a silence; zero waits for ever.
func newPatience(ctx context.Context, silence time.Duration) (context.Context, *patience) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &patience{cancel: cancel}
	if silence > 0 {
		p.timer = time.AfterFunc(silence, func() { cancel(errSilent) })
	}
	return ctx, p
}

// heard starts the silence anew, if there is a limit to it.
func (p *patience) heard(silence time.Duration) {
	if p.timer != nil {
		p.timer.Reset(silence)
	}
}

// stop frees the timer and ends what still runs.
func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
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

// patience is how long the next attempt may be silent before another is made.
func (j *job) patience() time.Duration {
	if j.route.Repeat != retry.Safe || j.ran+1 >= j.route.Attempts {
		return 0
	}
	return time.Duration(firstPatience * float64(j.route.Objective))
}

// gap is how long a stream may pause before it goes on at another target.
func (j *job) gap() time.Duration { return gapPatience * j.route.GapObjective }
