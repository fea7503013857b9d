package table

import (
	"strconv"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Eras tracks the service's era by the responses that one client receives.
type Eras struct {
	logger log.Logger
	mu     sync.Mutex
	latest Era
	// onChange are called with each new era and the previous one, which is zero for the first era.
	onChange []func(era, was Era)
	// lastInvalid is the latest era header that was invalid; reported is set if a valid era was
	// reported after it.
	lastInvalid string
	reported    bool
}

// NewEras returns a tracker that has received no era yet.
func NewEras(logger log.Logger) *Eras { return &Eras{logger: logger, reported: true} }

// OnChange registers a callback for the first era and for each later one. It is called before the
// response with the new era is used, with the lock held, so that it must not block or call methods
// of Eras. It must be registered before the first call of the client.
func (e *Eras) OnChange(onChange func(era, was Era)) { e.onChange = append(e.onChange, onChange) }

// CurrentEra returns the latest era received, zero before the first.
func (e *Eras) CurrentEra() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

// AdvanceTo updates the era to one received from another client, if that is later.
func (e *Eras) AdvanceTo(era Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.latest {
		e.advance(era)
	}
}

// EraOf returns the era of a response, given the era reported in its header and the era in which
// the call started. The latest era is used if the header is missing or invalid, or if its era is
// before that in which the call started: only a response in flight while the era changed can have
// an earlier era.
func (e *Eras) EraOf(reported string, startEra Era) Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, err := strconv.ParseUint(reported, 10, 64)
	era := Era(number)
	if err != nil || era < startEra {
		e.logInvalid(reported)
		return e.latest
	}
	e.reported = true
	if era > e.latest {
		e.advance(era)
	}
	return era
}

// advance sets a later era and calls the callbacks; the caller holds the lock.
func (e *Eras) advance(era Era) {
	was := e.latest
	e.latest = era
	if was == 0 {
		_ = level.Info(e.logger).Log("msg", "store era detected", "era", era)
	} else {
		_ = level.Warn(e.logger).Log("msg", "store restored from an older snapshot", "era", era, "was", was)
	}
	for _, onChange := range e.onChange {
		onChange(era, was)
	}
}

// logInvalid logs an invalid era header, unless the response before had the same one; the caller
// holds the lock.
func (e *Eras) logInvalid(reported string) {
	if !e.reported && e.lastInvalid == reported {
		return
	}
	e.reported, e.lastInvalid = false, reported
	_ = level.Warn(e.logger).Log("msg", "store response without a valid era", "told", reported, "era", e.latest)
}
