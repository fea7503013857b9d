package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/crash"
)

// certainAttempt is the next attempt of a request: its target has a place for it and accepts connections, and its retry
// is taken from the budget.
type certainAttempt struct {
	placement *route.Placement
	// lookupName is the name under which the target was found.
	lookupName ident.Service
	// request is the request that was sent to the target, or nil before it is, and trial is set if it is a trial after a
	// quarantine.
	request *sentRequest
	trial   bool
}

// release ends the attempt and returns the target. It may be called without an attempt.
func (a *certainAttempt) release() {
	if a != nil {
		a.request.close()
		a.placement.Release()
	}
}

// successor seeks the attempt that may follow a silent one. It runs beside the attempt and has its own copy of what it
// needs of the job.
type successor struct {
	handler *Handler
	call    RequestID
	service ident.Service
	// silent is the target of the current attempt.
	silent *route.Placement
	traits []crash.Trait
	// logged is set once a silence was logged. Only seek uses it.
	logged bool

	mu      sync.Mutex
	request route.TargetRequest
	// attemptsLeft is the number of attempts that may follow the current one.
	attemptsLeft int
	// versionUnknown is set if no target may go on with the answer.
	versionUnknown bool
}

// newSuccessor returns the successor of an attempt.
func (h *Handler) newSuccessor(j *job, placement *route.Placement) *successor {
	request := j.lastRequest
	request.Avoid = append(append([]ident.TargetHash{}, j.avoid...), placement.Hash)
	s := &successor{
		handler: h, call: j.call.ID, service: j.service, silent: placement, traits: j.traits(), request: request,
		attemptsLeft: j.route.Attempts - j.runs - 1,
	}
	s.bind(j.version, j.versionUnknown)
	return s
}

// bind sets the only version of the service whose targets may go on with the answer, empty for any.
func (s *successor) bind(version ident.Version, unknown bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionUnknown = unknown
	s.request.Version, s.request.Service = version, s.service
	if version != "" {
		s.request.Service = s.handler.Canaries.NameOf(s.service, version)
	}
}

// failed records the failure of a next attempt: its target is avoided from now on.
func (s *successor) failed(target ident.TargetHash, mayHaveRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request.Avoid = append(s.request.Avoid, target)
	if mayHaveRun {
		s.attemptsLeft--
	}
}

// seek implements attemptSeeker.
func (s *successor) seek(ctx context.Context, silence time.Duration) *certainAttempt {
	next, decision := s.find(ctx, s.handler.Clock().Add(-silence))
	if next == nil && !s.logged {
		s.logged = true
		_ = level.Info(s.handler.Logger).Log("msg", "attempt goes on although its target is silent", "request", s.call, "service", s.service,
			"target", s.silent.Target.ID, "silence_ms", silence.Milliseconds(), "next", decision)
	}
	return next
}

// find returns the next attempt, or the reason for which none may follow. The silence has lasted since the given time.
func (s *successor) find(ctx context.Context, since time.Time) (*certainAttempt, retryDecision) {
	h := s.handler
	s.mu.Lock()
	request, versionUnknown, attemptsLeft := s.request, s.versionUnknown, s.attemptsLeft
	s.mu.Unlock()
	request.SilentSince = since
	switch {
	case attemptsLeft <= 0:
		return nil, retryNoAttempts
	case versionUnknown:
		return nil, retryNoTarget
	case h.Guard.Quarantine(s.traits).Left > 0:
		return nil, retryQuarantined
	case !h.Budget.HasRetry(s.service, h.Clock()):
		return nil, retryNoBudget
	}
	placement, err := h.Finder.Acquire(ctx, request)
	if err != nil {
		return nil, retryNoTarget
	}
	next := &certainAttempt{placement: placement, lookupName: request.Service}
	if version, confirmed := h.Rules.ConfirmedVersion(placement.Target.ID); request.Version != "" && !(confirmed && version == request.Version) {
		next.release()
		return nil, retryNoTarget
	}
	if !h.Sender.Connect(ctx, placement.Target.Addr, h.Rules.IdleConns(s.service)) {
		next.release()
		return nil, retryUnreachable
	}
	return next, retryAllowed
}

// commit implements attemptSeeker.
func (s *successor) commit() bool { return s.handler.Budget.Retry(s.service, s.handler.Clock()) }
