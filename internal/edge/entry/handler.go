package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// Finder finds targets.
type Finder interface {
	// Acquire waits for a target; its placement must be released.
	Acquire(ctx context.Context, ask route.Ask) (*route.Placement, error)
	// Report notes whether a target answered a request as it should.
	Report(target ident.TargetHash, ok bool)
	// Cancelled notes that a request ended without telling anything of its target.
	Cancelled(target ident.TargetHash)
	// Heard notes that bytes of an answer came from a target.
	Heard(target ident.TargetHash)
	// Silent notes that a request sent at some time has had no answer for too long, and
	// reports whether nothing else came from its target either.
	Silent(target ident.TargetHash, since time.Time) bool
	// Unreachable notes that a target could not be reached at all.
	Unreachable(target ident.TargetHash)
	// Observe takes in what a target said of itself in an answer.
	Observe(target route.Target, n route.Notice)
}

// Sender makes attempts.
type Sender interface {
	// Send makes one attempt and returns once the answer's head is there.
	Send(ctx context.Context, e relay.Exchange) (*relay.Answer, error)
}

// Guard holds back requests under which targets end.
type Guard interface {
	// HeldFor is how much longer a request is held back; zero if it is not.
	HeldFor(request ident.Fingerprint) time.Duration
	// Broke notes an answer that broke off.
	Broke(b guard.Break)
	// Served notes a whole answer.
	Served(request ident.Fingerprint)
}

// Budget limits how many requests are sent more than once.
type Budget interface {
	// Request notes a caller's request to a service.
	Request(service ident.Service, now time.Time)
	// Retry uses one of the service's retries if there is one.
	Retry(service ident.Service, now time.Time) bool
}

// Trials choose the requests that try a version of a service which is on trial.
type Trials interface {
	// Choose returns the name under which the next request's target is sought: the service's own, or that of the
	// version on trial.
	Choose(service ident.Service) (as ident.Service)
	// Sent notes that a target was found under a name.
	Sent(service, as ident.Service)
	// Answered notes how a target answered that was found under a name.
	Answered(service, as ident.Service, route match.RouteName, ok bool, took time.Duration)
}

// noTrials is where nothing is ever on trial.
type noTrials struct{}

func (noTrials) Choose(service ident.Service) ident.Service { return service }
func (noTrials) Sent(_, _ ident.Service)                    {}
func (noTrials) Answered(_, _ ident.Service, _ match.RouteName, _ bool, _ time.Duration) {
}

// Observer is told of each request's end.
type Observer interface {
	// Ended is called once a request.
	Ended(e End)
}

// End is one request's end.
type End struct {
	Route     match.RouteName
	Service   ident.Service
	Workspace ident.Workspace
	Reason    Reason
	// Status is what the caller got, or zero without an answer.
	Status int
	// Sends counts the attempts that reached a target.
	Sends int
	// Found is until a target was found, First until the answer's first byte, Whole
	// until the end; zero if it did not come to that.
	Found time.Duration
	First time.Duration
	Whole time.Duration
}

// Parts are what a handler works with.
type Parts struct {
	Dialect  Dialect
	Rules    Rules
	Finder   Finder
	Sender   Sender
	Budget   Budget
	Guard    Guard
	Observer Observer
	Logger   log.Logger
	Clock    ident.Clock
	// Gate is in front of the listener; nil if there is none.
	Gate *Gate
	// Trials may be nil.
	Trials Trials
}

// Handler serves callers.
type Handler struct {
	Parts
	// started is when the handler was made.
	startedAt time.Time
	latency   *latencyEstimates
	// unread is what waits for callers that read slowly, in bytes.
	unreadBytes atomic.Int64
}

// New returns a handler.
func New(parts Parts) *Handler {
	if parts.Trials == nil {
		parts.Trials = noTrials{}
	}
	return &Handler{Parts: parts, startedAt: parts.Clock(), latency: newLatencyEstimates()}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, p := h.accept(r)
	if p == nil {
		p = h.readBody(w, r, j)
	}
	if p != nil {
		h.writeProblem(w, j, p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	h.Budget.Request(j.service, j.arrived)
	if p := h.quarantineProblem(j); p != nil {
		h.writeProblem(w, j, p)
		return
	}
	defer func() {
		if j.streamWriter != nil {
			j.streamWriter.close()
		}
	}()
	h.serve(ctx, w, j)
}

// answer ends a request with an answer of the router's own.
func (h *Handler) writeProblem(w http.ResponseWriter, j *job, p *problem) {
	p.write(w)
	h.ended(j, p.reason, p.status)
}

// serve makes attempts until one brings an answer or none may follow.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		if h.endIfDisconnected(ctx, j) {
			return
		}
		placement, err := h.acquire(ctx, j)
		if err != nil {
			h.endUnplaced(ctx, w, j, err)
			return
		}
		if j.found == 0 {
			j.found = h.Clock().Sub(j.arrived)
		}
		j.lastPlacement = placement
		if h.endIfDisconnected(ctx, j) {
			placement.Release()
			return
		}
		if p := h.quarantineProblem(j); p != nil {
			placement.Release()
			h.endWithProblem(w, j, p)
			return
		}
		began := h.Clock()
		result := h.attempt(ctx, w, j, placement)
		placement.Release()
		h.reportToGuard(j, placement, result)
		h.reportCanary(j, result)
		if result.succeeded() && j.sends == 1 {
			h.latency.add(j.route.Name, j.arrived.Add(j.first).Sub(began))
		}
		if result.ended {
			h.ended(j, result.reason, result.status)
			abortConnection(result.reason)
			return
		}
		if !h.shouldRetry(ctx, j, placement, result) {
			h.endFailed(ctx, w, j, result)
			return
		}
	}
}

// acquire finds a target. A first attempt may try a version on trial, if a target of it has room.
func (h *Handler) acquire(ctx context.Context, j *job) (*route.Placement, error) {
	placementRequest := j.placementRequest(h.latency.firstByteTime(j.route.Name))
	j.lookupName = j.service
	if j.sends+j.unreached == 0 {
		j.lookupName = h.Trials.Choose(j.service)
	}
	placementRequest.Service = j.lookupName
	placement, err := h.Finder.Acquire(ctx, placementRequest)
	if err != nil && j.lookupName != j.service {
		j.lookupName, placementRequest.Service = j.service, j.service
		placement, err = h.Finder.Acquire(ctx, placementRequest)
	}
	if err == nil {
		h.Trials.Sent(j.service, j.lookupName)
	}
	return placement, err
}

// tellTrials tells how a target answered. Of a caller that left, or was not read from, nothing can be said.
func (h *Handler) reportCanary(j *job, attempt result) {
	if attempt.reason == CallerGone || attempt.reason == Unread || attempt.step == retry.Refused && !attempt.ended {
		return
	}
	h.Trials.Answered(j.service, j.lookupName, j.route.Name, attempt.succeeded(), attempt.took)
}

// held is the answer to a request under which targets end. Sent on, it would take one along and all that
// runs there, and still not be answered.
func (h *Handler) quarantineProblem(j *job) *problem {
	wait := h.Guard.HeldFor(j.fingerprint())
	switch {
	case wait == 0:
		return nil
	case j.outcome == retry.Unknown:
		return noAnswer(j.outcome, Quarantined, false)
	default:
		return rejection(Quarantined, wait)
	}
}

// tellGuard tells of an attempt what shows whether targets end under the request.
func (h *Handler) reportToGuard(j *job, placement *route.Placement, attempt result) {
	switch {
	case attempt.connBroken:
		h.Guard.Broke(guard.Break{
			Request: string(j.call.ID), Fingerprint: j.fingerprint(), Target: placement.Target, Ran: attempt.took,
		})
	case attempt.complete:
		h.Guard.Served(j.fingerprint())
	}
}

// left ends a request whose caller has left, and reports whether it has.
func (h *Handler) endIfDisconnected(ctx context.Context, j *job) bool {
	if !callerDisconnected(ctx) {
		return false
	}
	h.ended(j, CallerGone, 0)
	return true
}

// notPlaced ends a request for which there is no target.
func (h *Handler) endUnplaced(ctx context.Context, w http.ResponseWriter, j *job, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		h.ended(j, CallerGone, 0)
		return
	}
	p := placementProblem(err)
	j.placementErr = err
	if j.outcome == retry.Unknown {
		p = noAnswer(j.outcome, p.reason, false)
	}
	h.endWithProblem(w, j, p)
}

// giveUp ends a request whose last attempt brought no answer.
func (h *Handler) endFailed(ctx context.Context, w http.ResponseWriter, j *job, attempt result) {
	if errors.Is(ctx.Err(), context.Canceled) {
		h.ended(j, CallerGone, 0)
		return
	}
	h.endWithProblem(w, j, noAnswer(j.outcome, attempt.reason, ctx.Err() != nil))
}

// finish gives a final answer of the router's own, unless a part of a target's answer
// has gone out: then only the connection's end can tell the caller.
func (h *Handler) endWithProblem(w http.ResponseWriter, j *job, p *problem) {
	if j.headSent {
		h.ended(j, CutOff, 0)
		abortConnection(CutOff)
		return
	}
	h.writeProblem(w, j, p)
}

// abortCutOff closes the caller's connection under an answer that was cut off, or that it does not read. It comes
// last: it does not return, and by then the place at the target must be given back.
func abortConnection(reason Reason) {
	if reason == CutOff || reason == Unread {
		panic(http.ErrAbortHandler)
	}
}
