package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/table"
)

// Source reads tables of the store.
type Source interface {
	// All reads the whole of a table.
	All(ctx context.Context, name table.Name) (table.Page, error)
	// Changes waits for changes after a version, for at most wait.
	Changes(ctx context.Context, name table.Name, after table.Version, wait time.Duration) (table.Page, error)
}

// Pace is how often the store is called.
type Pace struct {
	// Wait is how long the store may hold a call until something changes. A connection
	// that has died without a word is noticed only after it.
	Wait time.Duration
	// Slack is added to Wait until a call counts as lost.
	Slack time.Duration
	// Least and Most bound the pause after a failed call.
	Least time.Duration
	Most  time.Duration
}

// DefaultPace notices a dead connection within two seconds, the time within which a
// configuration must be in force, and finds a returned store within half a second.
var DefaultPace = Pace{
	Wait: 1500 * time.Millisecond, Slack: 400 * time.Millisecond,
	Least: 50 * time.Millisecond, Most: 500 * time.Millisecond,
}

// Follower keeps one table's copy up with the store.
type Follower struct {
	board  *Board
	source Source
	name   table.Name
	pace   Pace
	logger log.Logger
	rng    *rand.Rand
	// broken is set when the next call must read the whole table.
	broken bool
	pause  time.Duration
}

// NewFollower returns a follower of a table that the board holds.
func NewFollower(board *Board, source Source, name table.Name, pace Pace, logger log.Logger, seed uint64) *Follower {
	return &Follower{
		board: board, source: source, name: name, pace: pace, logger: logger,
		rng: rand.New(rand.NewPCG(seed, uint64(len(name)))),
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Step(ctx); err != nil && ctx.Err() == nil {
			f.lost(err)
			sleep(ctx, f.nextPause())
			continue
		}
		f.pause = 0
		f.board.Sweep(f.name)
	}
}

// Step makes one call and takes in its answer.
func (f *Follower) Step(ctx context.Context) error {
	version, known := f.board.Version(f.name)
	if !known || f.broken {
		return f.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.pace.Wait+f.pace.Slack)
	defer cancel()
	page, err := f.source.Changes(ctx, f.name, version, f.pace.Wait)
	if table.KindOf(err) == table.Compacted {
		_ = level.Warn(f.logger).Log("msg", "history of a table is gone, reading it whole", "table", f.name, "version", version)
		f.broken = true
		return nil
	}
	if err != nil {
		return err
	}
	f.regained(page.Version)
	if !f.board.Apply(f.name, version, page) {
		// Somebody else brought the copy further meanwhile.
		return nil
	}
	return nil
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.pace.Wait)
	defer cancel()
	page, err := f.source.All(ctx, f.name)
	if err != nil {
		return err
	}
	f.regained(page.Version)
	if !f.board.Replace(f.name, page) {
		version, _ := f.board.Version(f.name)
		_ = level.Warn(f.logger).Log("msg", "the store answered with an older state", "table", f.name, "version", page.Version, "have", version)
		sleep(ctx, f.pace.Least)
		return nil
	}
	f.broken = false
	return nil
}

func (f *Follower) lost(err error) {
	if f.board.Lost(f.name) {
		_ = level.Warn(f.logger).Log("msg", "dependency lost", "dependency", "store", "table", f.name, "err", err)
	}
}

func (f *Follower) regained(version table.Version) {
	if f.pause > 0 {
		_ = level.Info(f.logger).Log("msg", "dependency regained", "dependency", "store", "table", f.name, "version", version)
	}
}

// nextPause doubles from failure to failure and varies by half, so that routers do not
// call a returned store all at once.
func (f *Follower) nextPause() time.Duration {
	f.pause = min(max(2*f.pause, f.pace.Least), f.pace.Most)
	return f.pause/2 + time.Duration(f.rng.Int64N(int64(f.pause/2)+1))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
