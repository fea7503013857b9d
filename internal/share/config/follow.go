package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/pause"
	"valescale/internal/plat/table"
)

// Peer fetches changes from another router.
type Peer interface {
	Fetch(ctx context.Context, from ident.Router, after ident.Revision) (Fetched, error)
}

// Fetched is a peer's response: the changes after a revision, or a full snapshot if the requesting
// router is too far behind.
type Fetched struct {
	Head     ident.Revision
	Changes  []Change
	Snapshot *Snapshot
}

// Alarm is a condition that requires an operator's attention.
type Alarm string

// AlarmStoreBehind means that the store's head is lower than the revision in force, and that this
// router could not rewrite the lost changes.
const AlarmStoreBehind Alarm = "store_behind"

// AlarmNotInstalled means that a recorded change cannot be installed on this router.
const AlarmNotInstalled Alarm = "change_not_installed"

// Follower keeps a Keeper up to date with the recorded head.
type Follower struct {
	keeper       *Keeper
	recorder     *Recorder
	peer         Peer
	pollInterval time.Duration
	logger       log.Logger
	rng          *rand.Rand
	mu           sync.Mutex
	alarms       map[Alarm]bool
	// fetchMu ensures that only one fetch runs at a time.
	fetchMu     sync.Mutex
	initialized bool
	// era is the era of the latest head that was not behind the revision in force.
	era table.Era
	// failure is the error text of the latest poll. It is used only by Run.
	failure string
}

// NewFollower returns a follower that polls the head at about the given interval.
func NewFollower(keeper *Keeper, recorder *Recorder, peer Peer, pollInterval time.Duration, logger log.Logger, seed uint64) *Follower {
	return &Follower{
		keeper: keeper, recorder: recorder, peer: peer, pollInterval: pollInterval, logger: logger,
		rng: rand.New(rand.NewPCG(seed, seed)), alarms: map[Alarm]bool{},
	}
}

// Run polls until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for {
		f.logFailure(ctx, f.Poll(ctx))
		// The jitter of half the interval spreads the polls of different routers.
		wait := f.pollInterval*3/4 + time.Duration(f.rng.Int64N(int64(f.pollInterval/2)+1))
		if !pause.Sleep(ctx, wait) {
			return
		}
	}
}

// logFailure logs the error of a poll unless the previous poll failed with the same error.
func (f *Follower) logFailure(ctx context.Context, err error) {
	failure := ""
	if err != nil {
		failure = err.Error()
	}
	if failure != f.failure && ctx.Err() == nil {
		_ = level.Warn(f.logger).Log("msg", "cannot follow the recorded configuration", "revision", f.keeper.InForce().Revision, "err", err)
	}
	f.failure = failure
}

// Poll reads the head from the store and installs the missing changes.
func (f *Follower) Poll(ctx context.Context) error {
	f.fetchMu.Lock()
	defer f.fetchMu.Unlock()
	head, revision, err := f.recorder.readHead(ctx)
	if err != nil {
		return err
	}
	current := f.keeper.InForce().Revision
	f.setAlarm(AlarmStoreBehind, revision < current)
	if revision < current {
		return f.handleStoreBehind(ctx, head.Era, revision, current)
	}
	f.era = head.Era
	for current < revision {
		changes, err := f.recorder.Changes(ctx, current)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return fault.Newf("config.Poll", Gap, "the head is revision %d but the store has no change after revision %d", revision, current)
		}
		if err := f.install(changes); err != nil {
			return err
		}
		current = f.keeper.InForce().Revision
	}
	// The router becomes ready for requests once it is initialized, so this must follow the
	// installation.
	f.markInitialized()
	return nil
}

func (f *Follower) install(changes []Change) error {
	err := f.keeper.Install(changes)
	f.setAlarm(AlarmNotInstalled, err != nil)
	return err
}

// FollowPeer follows a new head reported by a peer. It fetches the changes from that peer, or from
// the store if the peer does not respond.
func (f *Follower) FollowPeer(ctx context.Context, from ident.Router) error {
	f.fetchMu.Lock()
	err := f.fetch(ctx, from)
	f.fetchMu.Unlock()
	if err != nil {
		return f.Poll(ctx)
	}
	return nil
}

func (f *Follower) fetch(ctx context.Context, from ident.Router) error {
	got, err := f.peer.Fetch(ctx, from, f.keeper.InForce().Revision)
	if err != nil {
		return err
	}
	if got.Snapshot != nil {
		return f.keeper.InstallSnapshot(*got.Snapshot)
	}
	return f.install(got.Changes)
}

// Bootstrap installs the configuration of a ready router. It is used at startup while the store
// does not respond.
func (f *Follower) Bootstrap(ctx context.Context, from ident.Router) error {
	f.fetchMu.Lock()
	defer f.fetchMu.Unlock()
	if err := f.fetch(ctx, from); err != nil {
		return err
	}
	f.markInitialized()
	return nil
}

// Initialized reports whether this router has ever obtained the configuration, from the store or
// from a ready router.
func (f *Follower) Initialized() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.initialized
}

func (f *Follower) markInitialized() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initialized = true
}

func (f *Follower) setAlarm(alarm Alarm, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.alarms[alarm] = true
		return
	}
	delete(f.alarms, alarm)
}

// Alarms returns the active alarms.
func (f *Follower) Alarms() []Alarm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Alarm
	for a := range f.alarms {
		out = append(out, a)
	}
	return out
}
